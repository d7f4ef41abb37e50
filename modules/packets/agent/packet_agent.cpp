#include "packets/agent/packet_agent.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace briardrum
{

namespace
{

// A caller answers an open flow within two round trips and some processing
// time. A caller that is gone must not hold a slot; a later packet acquires a
// slot again.
constexpr millis opening_timeout = milliseconds(60);
// Longer than any request deadline: the caller is gone, and its slot is
// released.
constexpr millis answer_timeout = seconds(8);
// A caller whose packets were lost retransmits after 200 ms of silence.
constexpr millis transfer_stall_time = milliseconds(250);
// The last packets of a closed flow are retransmitted for about this long. A
// probed flow that the server does not hold has been returned long before.
constexpr millis closed_flow_retention = seconds(2);
constexpr millis expiry_interval = milliseconds(20);
constexpr millis table_expiry_interval = seconds(1);
// Time that the server has to answer an opening packet before a retransmission
// of it is delivered to the server as well.
constexpr millis opening_resend_delay = milliseconds(100);
// A caller first retransmits an opening packet after 200 ms. Until this long
// after the first one, with 50 ms for the network, no retransmission can have
// opened the flow.
constexpr millis refusal_window = milliseconds(150);
// Both ends have at most 16 packets of 1,200 bytes in flight, so the first
// acknowledgement of a handshake by the caller is at most this far from the
// initial sequence number of the server.
constexpr std::uint32_t handshake_window = 16 * 1200;
// A server that holds a probed flow answers before the caller retransmits, 200
// ms later. A server that has only accepted the opening packet stays silent.
constexpr millis probe_timeout = milliseconds(150);
// Maximum number of hops of a packet between agents.
constexpr std::uint8_t relay_hops_max = 4;

auto uses_slot(flow_phase phase) -> bool
{
    return phase == flow_phase::opening || phase == flow_phase::asking;
}

// Returns the time at which the caller first sent this opening packet.
// Retransmissions follow at known times, and a packet that other agents have
// queued carries its waiting time.
auto first_sent_at(millis now, const flow_packet& opening) -> millis
{
    constexpr millis copy_ages[] = {milliseconds(0), milliseconds(200),
                                    milliseconds(600)};
    const auto copies = std::min<std::size_t>(opening.retransmissions,
                                              std::size(copy_ages) - 1);
    const auto held = milliseconds(opening.label.waited_ms);
    return now - std::max(copy_ages[copies], held);
}

auto as_count(millis span) -> std::uint64_t
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, span.count));
}

} // namespace

packet_agent::packet_agent(member_view& members, packet_agent_settings settings,
                           packet_hooks hooks, millis started_at)
    : members_(members), settings_(std::move(settings)),
      hooks_(std::move(hooks)), started_at_(started_at),
      server_(settings_.service_name, settings_.heartbeat_interval),
      admission_(settings_.admission),
      tag_(service_tag_of(settings_.service_name))
{
}

auto packet_agent::emit(event&& value) -> void
{
    if (hooks_.events)
    {
        hooks_.events(value);
    }
}

auto packet_agent::flow_event(std::string_view name, const flow_key& flow)
    -> event
{
    return event(name)
        .with("flow", to_string(flow.caller))
        .with("busy", std::uint64_t{admission_.busy()})
        .with("slots", std::uint64_t{server_.slots()})
        .with("waiting", std::uint64_t{admission_.waiting()});
}

// ---- Packets from balancers and agents

auto packet_agent::on_packet(millis now, const endpoint& from,
                             const flow_packet& packet) -> void
{
    if (packet.label.service != tag_)
    {
        ++counters_.wrong_service;
        emit(flow_event("packet_refused", flow_from_caller(packet))
                 .with("reason", "wrong_service")
                 .with("kind", to_string(packet.label.kind))
                 .with("from", to_string(from))
                 .with("own_service", server_.service_name()));
        return;
    }
    if (packet.label.kind == label_kind::owned)
    {
        on_owned(now, from, packet);
    }
    else if (packet.label.kind == label_kind::unowned)
    {
        on_unowned(now, from, packet);
    }
    else if (packet.opens)
    {
        on_opening(now, from, packet);
    }
    else
    {
        on_open_flow(now, from, packet);
    }
}

auto packet_agent::on_opening(millis now, const endpoint& from,
                              const flow_packet& packet) -> void
{
    const auto flow = flow_from_caller(packet);
    if (auto* row = flows_.find(flow))
    {
        on_repeated_opening(now, flow, *row);
        return;
    }
    const auto* owner = redirects_.touch(now, flow);
    if (owner != nullptr && packet.label.kind == label_kind::forward &&
        relay(from, packet, *owner))
    {
        return;
    }
    if (packet.label.kind == label_kind::settle)
    {
        settle(now, packet);
        return;
    }
    offer(now, packet);
}

auto packet_agent::on_repeated_opening(millis now, const flow_key& flow,
                                       owned_flow& row) -> void
{
    row.last_used = now;
    if (row.phase != flow_phase::opening ||
        now - row.phase_since < opening_resend_delay)
    {
        return;
    }
    const auto bytes = row.opening_bytes;
    auto packet = opening_of(now, row);
    packet.datagram = bytes;
    if (!server_.is_silent(now))
    {
        hooks_.send_to_server(packet);
        return;
    }
    remove_flow(now, flow);
    forward_offer(now, packet);
}

auto packet_agent::offer(millis now, const flow_packet& packet) -> void
{
    if (!draining_ && server_.accepts_new_flows(now) &&
        admission_.has_free_slot())
    {
        start_flow(now, packet);
        return;
    }
    forward_offer(now, packet);
}

// Forwards an opening packet to the next agent in the rendezvous order or, at
// the end, to the visited agent with the shortest expected wait.
auto packet_agent::forward_offer(millis now, const flow_packet& packet) -> void
{
    const auto flow = flow_from_caller(packet);
    const auto self = members_.self().id;
    auto order = order_of(flow);
    std::erase_if(order,
                  [&](member_id id)
                  {
                      const auto* record = members_.find(id);
                      return record == nullptr ||
                             record->state == member_state::suspect;
                  });
    auto label = packet.label;
    std::size_t next = label.hops;
    if (next < order.size() && order[next] == self)
    {
        ++next;
    }
    if (!draining_ && server_.accepts_new_flows(now))
    {
        const auto expected = admission_.expected_wait(
            now, label.urgency, first_sent_at(now, packet));
        const auto units = expected.count / packet_label::best_wait_unit.count;
        const auto wait = static_cast<std::uint8_t>(
            std::min<std::int64_t>(units, packet_label::best_wait_max - 1));
        const auto place = std::find(order.begin(), order.end(), self);
        const auto position = place - order.begin();
        if (place != order.end() && wait < label.best_wait &&
            position <= packet_label::hops_max)
        {
            label.best_wait = wait;
            label.best_position = static_cast<std::uint8_t>(position);
        }
    }
    if (next < order.size() && next < settings_.offers_max)
    {
        label.kind = label_kind::offer;
        label.hops = static_cast<std::uint8_t>(
            std::max<std::size_t>(std::size_t{label.hops} + 1, next));
        ++counters_.forwarded_offers;
        send_to(order[next], packet, label);
        return;
    }
    if (label.best_wait == packet_label::best_wait_max ||
        label.best_position >= order.size())
    {
        ++counters_.dropped;
        emit(flow_event("flow_dropped", flow)
                 .with("reason", "no_server_takes_flows")
                 .with("agents", std::uint64_t{order.size()})
                 .with("hops", std::uint64_t{label.hops}));
        return;
    }
    label.kind = label_kind::settle;
    const auto target = order[label.best_position];
    if (target == self)
    {
        settle(now, packet);
        return;
    }
    ++counters_.settled_elsewhere;
    send_to(target, packet, label);
}

auto packet_agent::settle(millis now, const flow_packet& packet) -> void
{
    const auto flow = flow_from_caller(packet);
    if (draining_ || !server_.accepts_new_flows(now))
    {
        ++counters_.dropped;
        emit(flow_event("flow_dropped", flow).with("reason", "server_gone"));
        return;
    }
    switch (admission_.decide(now, packet.label.urgency,
                              first_sent_at(now, packet)))
    {
    case admission_decision::start:
        start_flow(now, packet);
        return;
    case admission_decision::wait:
        enqueue(now, packet);
        return;
    case admission_decision::refuse:
        break;
    }
    refuse(now, packet, "queue_full");
}

auto packet_agent::enqueue(millis now, const flow_packet& packet) -> void
{
    const auto flow = flow_from_caller(packet);
    const auto expected = admission_.expected_wait(now, packet.label.urgency,
                                                   first_sent_at(now, packet));
    auto& row = add_flow(now, packet, flow_phase::waiting);
    admission_.push(now, flow, packet.label.urgency,
                    first_sent_at(now, packet));
    ++counters_.queued;
    emit(flow_event("flow_waits", flow)
             .with("expected_ms", as_count(expected))
             .with("hops", std::uint64_t{packet.label.hops}));
    announce_ownership(flow, row);
}

auto packet_agent::start_flow(millis now, const flow_packet& packet) -> void
{
    const auto flow = flow_from_caller(packet);
    // The caller passed on a packet without checking its service.
    BRIARDRUM_INVARIANT(packet.label.service == tag_);
    auto& row = add_flow(now, packet, flow_phase::opening);
    ++counters_.started;
    emit(flow_event("flow_started", flow)
             .with("hops", std::uint64_t{packet.label.hops})
             .with("waited_ms", std::uint64_t{packet.label.waited_ms}));
    server_.on_opening_sent(now);
    hooks_.send_to_server(packet);
    announce_ownership(flow, row);
}

auto packet_agent::start_queued_flows(millis now) -> void
{
    if (draining_ || !server_.accepts_new_flows(now))
    {
        redistribute_queued_flows(now);
        return;
    }
    for (auto flow = admission_.pop(now); flow.has_value();
         flow = admission_.pop(now))
    {
        auto* row = flows_.find(*flow);
        if (row == nullptr)
        {
            continue;
        }
        const auto waited = now - row->phase_since;
        if (hooks_.record_queue_wait)
        {
            hooks_.record_queue_wait(waited);
        }
        set_phase(now, *row, flow_phase::opening);
        ++counters_.started;
        emit(flow_event("flow_started", *flow)
                 .with("waited_ms", as_count(waited)));
        auto packet = row->opening;
        packet.datagram = row->opening_bytes;
        server_.on_opening_sent(now);
        hooks_.send_to_server(packet);
    }
}

// The server no longer accepts flows: offers the queued flows to other agents.
auto packet_agent::redistribute_queued_flows(millis now) -> void
{
    for (const auto& flow : admission_.take_all())
    {
        auto* row = flows_.find(flow);
        if (row == nullptr)
        {
            continue;
        }
        const auto bytes = row->opening_bytes;
        auto packet = opening_of(now, *row);
        packet.datagram = bytes;
        packet.label.best_wait = packet_label::best_wait_max;
        remove_flow(now, flow);
        forward_offer(now, packet);
    }
}

// Sends a reset only for a first opening packet whose retransmission cannot be
// in flight. A retransmission may have opened the flow at another agent, and a
// reset would break it there. Older packets are dropped, and their callers
// retry by themselves.
auto packet_agent::refuse(millis now, const flow_packet& opening,
                          std::string_view reason) -> void
{
    const auto age = now - first_sent_at(now, opening);
    const auto first = opening.retransmissions == 0 && age < refusal_window;
    emit(flow_event("flow_refused", flow_from_caller(opening))
             .with("reason", reason)
             .with("told", first ? "yes" : "no")
             .with("copies", std::uint64_t{opening.retransmissions})
             .with("age_ms", as_count(age))
             .with("urgency", std::uint64_t{opening.label.urgency}));
    if (!first)
    {
        ++counters_.dropped;
        return;
    }
    ++counters_.refused;
    hooks_.send_reset(opening.destination, opening.source, 0);
}

auto packet_agent::drop_expired(millis now) -> void
{
    for (const auto& flow : admission_.take_expired(now))
    {
        // The caller gives up within 200 ms; no reset is sent, because a
        // retransmission may have opened the flow at another agent.
        ++counters_.expired;
        emit(flow_event("flow_expired", flow));
        remove_flow(now, flow);
    }
}

// ---- Packets of open flows

auto packet_agent::on_open_flow(millis now, const endpoint& from,
                                const flow_packet& packet) -> void
{
    const auto flow = flow_from_caller(packet);
    if (auto* row = flows_.find(flow))
    {
        if (packet.label.kind == label_kind::locate &&
            row->phase != flow_phase::probing)
        {
            answer_locate(from, packet, label_kind::owned);
        }
        if (row->phase == flow_phase::probing &&
            now - row->phase_since > probe_timeout)
        {
            abandon_probe(now, packet);
            return;
        }
        deliver(now, flow, *row, packet);
        return;
    }
    if (packet.label.kind == label_kind::locate)
    {
        if (may_have_unknown_flows(now))
        {
            probe_server(now, packet);
        }
        else
        {
            answer_locate(from, packet, label_kind::unowned);
        }
        return;
    }
    const auto* owner = redirects_.touch(now, flow);
    if (owner != nullptr)
    {
        if (relay(from, packet, *owner))
        {
            return;
        }
        redirects_.erase(flow);
    }
    if (may_have_unknown_flows(now) && !searches_.has_recent_search(flow))
    {
        probe_server(now, packet);
        return;
    }
    search_for_owner(now, packet);
}

auto packet_agent::deliver(millis now, const flow_key& flow, owned_flow& row,
                           const flow_packet& packet) -> void
{
    if (row.phase == flow_phase::waiting)
    {
        // The server has not seen this flow, so the packet belongs to an older
        // flow.
        ++counters_.dropped;
        return;
    }
    if (is_open_at_another_server(row, packet))
    {
        emit(flow_event("flow_not_ours", flow)
                 .with("phase", to_string(row.phase))
                 .with("reason", "handshake_of_another_server"));
        remove_flow(now, flow);
        start_queued_flows(now);
        search_for_owner(now, packet);
        return;
    }
    row.last_used = now;
    if (packet.acknowledges)
    {
        row.confirmed = row.confirmed || row.server_sequence.has_value();
        row.caller_acknowledged = packet.acknowledged;
    }
    if (packet.payload_bytes > 0)
    {
        note_request(now, row, packet);
    }
    row.caller_closed = row.caller_closed || packet.closes;
    hooks_.send_to_server(packet);
    if (packet.resets)
    {
        remove_flow(now, flow);
        start_queued_flows(now);
    }
}

// An opening packet and its retransmission may reach two servers that both
// accept it. The flow is open at the server whose answer the caller
// acknowledges.
auto packet_agent::is_open_at_another_server(const owned_flow& row,
                                             const flow_packet& packet) const
    -> bool
{
    if (row.confirmed || !packet.acknowledges ||
        !row.server_sequence.has_value())
    {
        return false;
    }
    return packet.acknowledged - *row.server_sequence > handshake_window;
}

// A full packet is followed by more of the request: the server starts to work
// once the last packet, which is not full, has arrived.
auto packet_agent::note_request(millis now, owned_flow& row,
                                const flow_packet& packet) -> void
{
    const auto more_follows =
        packet.payload_bytes >= settings_.full_payload_bytes;
    const auto phase =
        more_follows ? flow_phase::receiving : flow_phase::asking;
    if (row.phase == phase || row.phase == flow_phase::probing)
    {
        return;
    }
    set_phase(now, row, phase);
    if (more_follows)
    {
        start_queued_flows(now);
    }
}

auto packet_agent::relay(const endpoint& from, const flow_packet& packet,
                         const redirect_table::row& to) -> bool
{
    if (packet.label.hops >= relay_hops_max || to.owner == members_.self().id)
    {
        return false;
    }
    const auto owner = to.owner;
    auto label = packet.label;
    label.kind = label_kind::relay;
    ++label.hops;
    if (!send_to(owner, packet, label))
    {
        return false;
    }
    ++counters_.relayed;
    if (packet.label.kind == label_kind::forward && !packet.opens)
    {
        packet_label hint;
        hint.kind = label_kind::hint;
        hint.owner_address = members_.find(owner)->data_address.address;
        hooks_.send_notice(from, packet.source, packet.destination, hint);
    }
    return true;
}

auto packet_agent::probe_server(millis now, const flow_packet& packet) -> void
{
    add_flow(now, packet, flow_phase::probing);
    emit(flow_event("server_probed", flow_from_caller(packet))
             .with("kind", to_string(packet.label.kind)));
    hooks_.send_to_server(packet);
}

// The server has not responded to a packet of the flow, so it may not hold the
// flow. Packets that it has already received remain valid, but no more are
// delivered to it speculatively.
auto packet_agent::abandon_probe(millis now, const flow_packet& packet) -> void
{
    if (packet.label.kind == label_kind::locate)
    {
        ++counters_.dropped;
        return;
    }
    search_for_owner(now, packet);
}

auto packet_agent::search_for_owner(millis now, const flow_packet& packet)
    -> void
{
    const auto flow = flow_from_caller(packet);
    const auto self = members_.self().id;
    const auto known = members_.agents_of(server_.service_name());
    std::vector<member_id> agents(known.begin(), known.end());
    std::erase(agents, self);
    switch (searches_.admit(now, flow, agents.size()))
    {
    case owner_search::decision::search:
        break;
    case owner_search::decision::hold:
        counters_.dropped += held_.hold(flow, packet) ? 0 : 1;
        return;
    case owner_search::decision::drop:
        ++counters_.dropped;
        return;
    case owner_search::decision::defer:
        ++counters_.dropped;
        ++counters_.searches_deferred;
        emit(flow_event("search_deferred", flow)
                 .with("reason", "too_many_searches"));
        return;
    }
    ++counters_.searches;
    auto label = packet.label;
    label.kind = label_kind::locate;
    label.service = tag_;
    for (const auto id : agents)
    {
        send_to(id, packet, label);
    }
    emit(flow_event("owner_searched", flow)
             .with("asked", std::uint64_t{agents.size()})
             .with("hops", std::uint64_t{packet.label.hops}));
}

auto packet_agent::on_owned(millis now, const endpoint& from,
                            const flow_packet& notice) -> void
{
    const auto* owner = find_by_address(from.address);
    if (owner == nullptr || owner->id == members_.self().id)
    {
        return;
    }
    const auto flow = flow_from_caller(notice);
    redirects_.set(now, {flow, owner->id, owner->incarnation, 0});
    const auto* probed = flows_.find(flow);
    if (probed != nullptr && probed->phase == flow_phase::probing)
    {
        remove_flow(now, flow);
    }
    if (!searches_.on_owner_found(flow))
    {
        return;
    }
    ++counters_.searches_found;
    emit(flow_event("owner_found", flow).with("owner", owner->name));
    held_.release(flow,
                  [&](const flow_packet& packet)
                  {
                      on_open_flow(now, {}, packet);
                  });
}

auto packet_agent::answer_locate(const endpoint& from,
                                 const flow_packet& packet, label_kind kind)
    -> void
{
    packet_label label;
    label.kind = kind;
    label.service = tag_;
    hooks_.send_notice(from, packet.source, packet.destination, label);
}

// Every known agent has denied the flow. It may still be open at an agent that
// is not known here yet, so it is not reset: the event informs the operator,
// and the deadline of the caller ends the flow.
auto packet_agent::on_unowned(millis now, const endpoint& from,
                              const flow_packet& notice) -> void
{
    const auto flow = flow_from_caller(notice);
    const auto denial = searches_.on_denied(now, flow, from.address);
    if (denial.has_value())
    {
        emit(flow_event("owner_denied", flow)
                 .with("denied_by", std::uint64_t{denial->agents})
                 .with("since_ms", as_count(denial->elapsed)));
    }
}

auto packet_agent::report_failed_searches(millis now) -> void
{
    for (const auto& flow : searches_.take_failed(now))
    {
        std::uint64_t dropped = 0;
        held_.release(flow,
                      [&](const flow_packet&)
                      {
                          ++dropped;
                      });
        ++counters_.searches_failed;
        emit(flow_event("owner_not_found", flow).with("dropped", dropped));
    }
}

// ---- Packets from the server

auto packet_agent::on_server_packet(millis now, const flow_packet& packet)
    -> void
{
    server_.on_packet(now);
    if (packet.returned)
    {
        on_returned(now, packet);
        return;
    }
    const auto flow = flow_from_server(packet);
    auto* row = flows_.find(flow);
    const auto known_here = row != nullptr && row->phase != flow_phase::probing;
    if (packet.resets && !known_here)
    {
        withhold_reset(now, flow, row);
        return;
    }
    if (row == nullptr)
    {
        row = &adopt_from_server(now, flow, packet);
    }
    if (packet.resets && row->phase == flow_phase::opening && !row->confirmed)
    {
        on_opening_refused(now, flow, *row);
        return;
    }
    if (packet.resets && !row->confirmed)
    {
        withhold_reset(now, flow, row);
        return;
    }
    hooks_.send_to_caller(packet);
    on_answer(now, flow, *row, packet);
}

// A reset in answer to an opening packet means that no server process is
// running. Nothing has been executed, and another agent may take the flow.
auto packet_agent::on_opening_refused(millis now, const flow_key& flow,
                                      owned_flow& row) -> void
{
    const auto bytes = row.opening_bytes;
    auto packet = opening_of(now, row);
    packet.datagram = bytes;
    server_.on_opening_refused(now);
    emit(flow_event("opening_refused", flow)
             .with("hops", std::uint64_t{packet.label.hops}));
    remove_flow(now, flow);
    redistribute_queued_flows(now);
    forward_offer(now, packet);
}

// A server may answer with a reset if it received a probe for a flow that it
// does not hold, or accepted an opening packet whose flow was opened at another
// server. The owner of the flow still serves it.
auto packet_agent::withhold_reset(millis now, const flow_key& flow,
                                  const owned_flow* row) -> void
{
    ++counters_.dropped;
    emit(
        flow_event("reset_withheld", flow)
            .with("reason", "flow_not_held")
            .with("phase", row == nullptr ? "unknown" : to_string(row->phase)));
    if (row != nullptr)
    {
        remove_flow(now, flow);
        start_queued_flows(now);
    }
}

auto packet_agent::on_answer(millis now, const flow_key& flow, owned_flow& row,
                             const flow_packet& packet) -> void
{
    row.last_used = now;
    if (packet.opens)
    {
        row.server_sequence = packet.sequence;
        server_.on_opening_answered(now);
        return;
    }
    if (row.phase == flow_phase::probing)
    {
        set_phase(now, row, flow_phase::idle);
        announce_ownership(flow, row);
    }
    row.confirmed = true;
    row.server_closed = row.server_closed || packet.closes;
    const auto answers = packet.payload_bytes > 0 || packet.closes;
    if (answers && row.phase == flow_phase::receiving)
    {
        set_phase(now, row, flow_phase::idle);
    }
    if (answers && row.phase == flow_phase::asking)
    {
        if (hooks_.record_answer_time)
        {
            hooks_.record_answer_time(now - row.phase_since);
        }
        set_phase(now, row, flow_phase::idle);
        start_queued_flows(now);
    }
    if (packet.resets)
    {
        remove_flow(now, flow);
        start_queued_flows(now);
    }
}

// Adds a flow that was opened before this agent started.
auto packet_agent::adopt_from_server(millis now, const flow_key& flow,
                                     const flow_packet& packet) -> owned_flow&
{
    auto& row = flows_.insert(flow);
    row.caller = packet.destination;
    row.route = packet.source;
    row.phase = flow_phase::idle;
    row.phase_since = now;
    row.known_since = now;
    row.last_used = now;
    emit(flow_event("flow_adopted", flow));
    announce_ownership(flow, row);
    return row;
}

auto packet_agent::on_returned(millis now, const flow_packet& packet) -> void
{
    ++counters_.returned;
    const auto flow = flow_from_caller(packet);
    auto* row = flows_.find(flow);
    if (row == nullptr)
    {
        return;
    }
    auto again = packet;
    again.returned = false;
    again.label = opening_of(now, *row).label;
    again.label.service = tag_;
    again.label.kind = label_kind::relay;
    const auto route = row->route;
    const auto confirmed = row->confirmed;
    const auto acknowledged = row->caller_acknowledged;
    const auto phase = row->phase;
    const auto asked = row->opening.label.kind == label_kind::locate;
    if (packet.opens && phase != flow_phase::opening)
    {
        return;
    }
    remove_flow(now, flow);
    if (packet.opens)
    {
        server_.on_opening_answered(now);
        again.label.hops =
            static_cast<std::uint8_t>(std::min(again.label.hops + 1, 15));
        emit(flow_event("flow_returned", flow)
                 .with("hops", std::uint64_t{again.label.hops}));
        if (again.label.hops >= settings_.offers_max)
        {
            refuse(now, again, "server_full");
            return;
        }
        again.label.best_wait = packet_label::best_wait_max;
        forward_offer(now, again);
        return;
    }
    if (confirmed)
    {
        ++counters_.reset;
        emit(flow_event("flow_reset", flow)
                 .with("reason", "server_lost_flow")
                 .with("phase", to_string(phase)));
        hooks_.send_reset(route, flow.caller, acknowledged);
        return;
    }
    // The agent that asked is already searching. If every agent that was asked
    // searched as well, one search would cause messages from all agents to all
    // others.
    if (asked)
    {
        ++counters_.dropped;
        return;
    }
    search_for_owner(now, again);
}

// ---- Server announcements

auto packet_agent::on_heartbeat(millis now, const server_heartbeat& heartbeat)
    -> heartbeat_outcome
{
    const auto outcome = server_.on_heartbeat(now, heartbeat);
    if (outcome != heartbeat_outcome::renewed)
    {
        emit(event("server_heartbeat")
                 .with("server", heartbeat.server_id)
                 .with("service", heartbeat.service_name)
                 .with("sequence", heartbeat.sequence)
                 .with("draining", heartbeat.draining ? "yes" : "no")
                 .with("outcome", to_string(outcome)));
    }
    if (outcome == heartbeat_outcome::late ||
        outcome == heartbeat_outcome::outdated)
    {
        return outcome;
    }
    if (outcome == heartbeat_outcome::replaced)
    {
        drop_server_flows(now);
    }
    tag_ = service_tag_of(server_.service_name());
    admission_.set_slots(server_.slots());
    update_own_record(now);
    return outcome;
}

auto packet_agent::on_leave(millis now, const std::string& server_id) -> bool
{
    const auto known = server_.on_leave(now, server_id);
    emit(event("server_left")
             .with("server", server_id)
             .with("known", known ? "yes" : "no"));
    update_own_record(now);
    return known;
}

// Removes the flows of a server incarnation that has ended. Callers whose flows
// were open are reset at once, so that they can retry. A flow young enough to
// be open at the new incarnation, from before its first heartbeat, is kept and
// left to the server to accept or reset.
auto packet_agent::drop_server_flows(millis now) -> void
{
    const auto announced_within = settings_.heartbeat_interval * 2;
    std::vector<flow_key> lost;
    for (const auto& [flow, row] : flows_.rows())
    {
        const auto closed = row.caller_closed && row.server_closed;
        const auto older = now - row.known_since > announced_within;
        if (row.phase != flow_phase::waiting && !closed && older)
        {
            lost.push_back(flow);
        }
    }
    for (const auto& flow : lost)
    {
        const auto* row = flows_.find(flow);
        if (row->confirmed)
        {
            ++counters_.reset;
            emit(flow_event("flow_reset", flow)
                     .with("reason", "server_replaced")
                     .with("phase", to_string(row->phase)));
            hooks_.send_reset(row->route, row->caller,
                              row->caller_acknowledged);
        }
        remove_flow(now, flow);
    }
}

auto packet_agent::drain(millis now) -> void
{
    draining_ = true;
    redistribute_queued_flows(now);
    update_own_record(now);
}

auto packet_agent::update_own_record(millis now) -> void
{
    const auto& own = members_.self();
    const auto leaves = draining_ || server_.is_draining();
    const auto state = leaves ? member_state::draining : member_state::ready;
    if (own.service_name != server_.service_name())
    {
        members_.set_service(now, server_.service_name());
    }
    if (own.slots != server_.slots())
    {
        members_.set_slots(now, server_.slots());
    }
    if (own.state != state && own.state != member_state::left)
    {
        members_.set_state(now, state);
    }
}

// ---- Flows and their tables

// Returns the opening packet with the time that it has spent here added. Its
// bytes belong to the row and must be copied before the row is removed.
auto packet_agent::opening_of(millis now, const owned_flow& row) const
    -> flow_packet
{
    auto out = row.opening;
    const auto waited = out.label.waited_ms + as_count(now - row.known_since);
    out.label.waited_ms = static_cast<std::uint16_t>(
        std::min<std::uint64_t>(waited, packet_label::waited_ms_max));
    return out;
}

auto packet_agent::add_flow(millis now, const flow_packet& packet,
                            flow_phase phase) -> owned_flow&
{
    auto& row = flows_.insert(flow_from_caller(packet));
    row.caller = packet.source;
    row.route = packet.destination;
    row.phase_since = now;
    row.known_since = now;
    row.last_used = now;
    row.caller_acknowledged = packet.acknowledges ? packet.acknowledged : 0;
    row.opening = packet;
    row.opening.datagram = {};
    if (packet.opens)
    {
        row.opening_bytes = to_buffer(packet.datagram);
    }
    set_phase(now, row, phase);
    return row;
}

auto packet_agent::set_phase(millis now, owned_flow& row, flow_phase phase)
    -> void
{
    const auto before = row.phase;
    if (uses_slot(phase) && !uses_slot(before))
    {
        admission_.acquire_slot();
    }
    if (!uses_slot(phase) && uses_slot(before))
    {
        const auto answered =
            before == flow_phase::asking && phase == flow_phase::idle;
        admission_.release_slot(
            answered ? std::optional<millis>(now - row.phase_since)
                     : std::nullopt);
    }
    if (phase == flow_phase::receiving && before != flow_phase::receiving)
    {
        admission_.begin_transfer();
    }
    if (phase != flow_phase::receiving && before == flow_phase::receiving)
    {
        admission_.end_transfer();
    }
    row.phase = phase;
    row.phase_since = now;
    if (phase == flow_phase::idle)
    {
        row.opening_bytes.clear();
        row.opening_bytes.shrink_to_fit();
    }
}

auto packet_agent::remove_flow(millis now, const flow_key& flow) -> void
{
    auto* row = flows_.find(flow);
    if (row == nullptr)
    {
        return;
    }
    admission_.remove(flow);
    set_phase(now, *row, flow_phase::probing);
    flows_.erase(flow);
}

auto packet_agent::announce_ownership(const flow_key& flow, owned_flow& row)
    -> void
{
    const auto order = order_of(flow);
    const auto self = members_.self().id;
    packet_label label;
    label.kind = label_kind::owned;
    label.service = tag_;
    const auto notify = [&](std::size_t position, member_id& notified)
    {
        const auto id = position < order.size() ? order[position] : 0;
        if (id == notified)
        {
            return;
        }
        notified = id;
        const auto* record =
            id == 0 || id == self ? nullptr : members_.find(id);
        if (record != nullptr)
        {
            hooks_.send_notice(record->data_address, row.caller, row.route,
                               label);
        }
    };
    for (std::size_t position = 0; position < row.notified.size(); ++position)
    {
        notify(position, row.notified[position]);
    }
}

auto packet_agent::reannounce_ownership() -> void
{
    if (members_.epoch() == announced_epoch_)
    {
        return;
    }
    announced_epoch_ = members_.epoch();
    for (auto& [flow, row] : flows_.rows())
    {
        if (row.phase != flow_phase::probing)
        {
            announce_ownership(flow, row);
        }
    }
}

auto packet_agent::expire_flows(millis now) -> void
{
    if (now < next_expiry_)
    {
        return;
    }
    next_expiry_ = now + expiry_interval;
    std::vector<flow_key> expired;
    for (auto& [flow, row] : flows_.rows())
    {
        const auto phase_time = now - row.phase_since;
        const auto stuck =
            (row.phase == flow_phase::opening &&
             phase_time > opening_timeout) ||
            (row.phase == flow_phase::asking && phase_time > answer_timeout);
        if (stuck)
        {
            ++counters_.unanswered;
            emit(flow_event("flow_unanswered", flow)
                     .with("phase", to_string(row.phase))
                     .with("since_ms", as_count(phase_time)));
        }
        if (stuck)
        {
            set_phase(now, row, flow_phase::idle);
        }
        const auto stalled = row.phase == flow_phase::receiving &&
                             now - row.last_used > transfer_stall_time;
        if (stalled)
        {
            set_phase(now, row, flow_phase::idle);
        }
        const auto closed = (row.caller_closed && row.server_closed) ||
                            row.phase == flow_phase::probing;
        const auto idle = now - row.last_used;
        if (idle > settings_.flow_lifetime ||
            (closed && idle > closed_flow_retention))
        {
            expired.push_back(flow);
        }
    }
    for (const auto& flow : expired)
    {
        remove_flow(now, flow);
    }
    if (now >= next_table_expiry_)
    {
        next_table_expiry_ = now + table_expiry_interval;
        redirects_.expire(now, settings_.flow_lifetime);
    }
}

// Returns true if the server may hold flows that this agent has never seen.
auto packet_agent::may_have_unknown_flows(millis now) const -> bool
{
    return (!server_.is_known() || server_.predates_agent()) &&
           now - started_at_ < settings_.flow_lifetime;
}

auto packet_agent::tick(millis now) -> void
{
    drop_expired(now);
    start_queued_flows(now);
    report_failed_searches(now);
    reannounce_ownership();
    expire_flows(now);
}

// ---- Members

auto packet_agent::order_of(const flow_key& flow) -> std::vector<member_id>
{
    candidates_.refresh(members_, server_.service_name());
    return rendezvous_order(flow, candidates_.serving());
}

auto packet_agent::send_to(member_id to, const flow_packet& packet,
                           const packet_label& label) -> bool
{
    const auto* record = members_.find(to);
    if (record == nullptr || !is_live(record->state))
    {
        return false;
    }
    hooks_.send_labelled(record->data_address, packet, label);
    return true;
}

auto packet_agent::find_by_address(std::uint32_t address) const
    -> const member_record*
{
    for (const auto& record : members_.records())
    {
        if (record.data_address.address == address && is_live(record.state))
        {
            return &record;
        }
    }
    return nullptr;
}

auto packet_agent::is_drained() const -> bool
{
    return std::all_of(flows_.rows().begin(), flows_.rows().end(),
                       [](const auto& it)
                       {
                           return it.row.caller_closed && it.row.server_closed;
                       });
}

auto packet_agent::server() const -> const local_server&
{
    return server_;
}

auto packet_agent::admission() const -> const flow_admission&
{
    return admission_;
}

auto packet_agent::flow_count() const -> std::size_t
{
    return flows_.size();
}

auto packet_agent::counters() const -> const packet_agent_counters&
{
    return counters_;
}

} // namespace briardrum
