#include "packets/agent/packet_agent.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace briardrum
{

namespace
{

// A caller answers an open flow within two trips and some processing; one that
// is gone must not hold a slot. A later packet takes a slot again.
constexpr millis opening_time_max = milliseconds(60);
// Longer than any request's deadline: the caller is gone, the slot is free.
constexpr millis asking_time_max = seconds(8);
// A caller whose packets were lost is silent for 200 ms, then sends again.
constexpr millis transfer_stalled_after = milliseconds(250);
// A closed flow's last packets are retransmitted for about so long; a probed
// flow that is not the server's was returned long before.
constexpr millis closed_linger = seconds(2);
constexpr millis expiry_interval = milliseconds(20);
constexpr millis table_expiry_interval = seconds(1);
// A repeated opening packet is handed to the server again when the first had
// this long to be answered.
constexpr millis opening_repeat_after = milliseconds(100);
// A caller sends its first copy of an opening packet after 200 ms; this long
// after the first nothing can be open by a copy, with 50 ms for the way.
constexpr millis refusal_window = milliseconds(150);
// The ends have at most 16 packets of 1,200 bytes under way, so a caller's
// first acknowledgement of a server's handshake is no further from its
// position.
constexpr std::uint32_t handshake_window = 16 * 1200;
// A server that holds a flow it was shown a packet of answers before the caller
// retransmits, 200 ms later; one that only accepted its opening packet is
// silent.
constexpr millis probe_answer_max = milliseconds(150);
// Most hops of a packet between agents.
constexpr std::uint8_t relay_hops_max = 4;

auto uses_slot(flow_phase phase) -> bool
{
    return phase == flow_phase::opening || phase == flow_phase::asking;
}

// When the caller first sent this opening packet: copies follow at known times,
// and a packet that other agents held tells for how long.
auto asked_at(millis now, const flow_packet& opening) -> millis
{
    constexpr millis copy_ages[] = {milliseconds(0), milliseconds(200),
                                    milliseconds(600)};
    const auto copies =
        std::min<std::size_t>(opening.copies_before, std::size(copy_ages) - 1);
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

auto packet_agent::log_flow(std::string_view name, const flow_key& flow)
    -> event
{
    return event(name)
        .with("flow", to_string(flow.caller))
        .with("busy", std::uint64_t{admission_.busy()})
        .with("slots", std::uint64_t{server_.slots()})
        .with("waiting", std::uint64_t{admission_.waiting()});
}

// ---- Packets of balancers and agents

auto packet_agent::on_packet(millis now, const endpoint& from,
                             const flow_packet& packet) -> void
{
    if (packet.label.service != tag_)
    {
        ++tallies_.wrong_service;
        emit(log_flow("packet_refused", flow_from_caller(packet))
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
        now - row.phase_since < opening_repeat_after)
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
    offer_on(now, packet);
}

auto packet_agent::offer(millis now, const flow_packet& packet) -> void
{
    if (!draining_ && server_.takes_flows(now) && admission_.has_free_slot())
    {
        start(now, packet);
        return;
    }
    offer_on(now, packet);
}

// Sends an opening packet to the next agent of the flow's order, or, at the
// end, to the one with the shortest wait of those it has seen.
auto packet_agent::offer_on(millis now, const flow_packet& packet) -> void
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
    if (!draining_ && server_.takes_flows(now))
    {
        const auto expected =
            admission_.expected_wait(now, label.urgency, asked_at(now, packet));
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
        ++tallies_.offered_on;
        send_to(order[next], packet, label);
        return;
    }
    if (label.best_wait == packet_label::best_wait_max ||
        label.best_position >= order.size())
    {
        ++tallies_.dropped;
        emit(log_flow("flow_dropped", flow)
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
    ++tallies_.settled_elsewhere;
    send_to(target, packet, label);
}

auto packet_agent::settle(millis now, const flow_packet& packet) -> void
{
    const auto flow = flow_from_caller(packet);
    if (draining_ || !server_.takes_flows(now))
    {
        ++tallies_.dropped;
        emit(log_flow("flow_dropped", flow).with("reason", "server_gone"));
        return;
    }
    switch (admission_.settle(now, packet.label.urgency, asked_at(now, packet)))
    {
    case admission_verdict::start:
        start(now, packet);
        return;
    case admission_verdict::wait:
        keep_waiting(now, packet);
        return;
    case admission_verdict::refuse:
        break;
    }
    refuse(now, packet, "queue_full");
}

auto packet_agent::keep_waiting(millis now, const flow_packet& packet) -> void
{
    const auto flow = flow_from_caller(packet);
    const auto expected = admission_.expected_wait(now, packet.label.urgency,
                                                   asked_at(now, packet));
    auto& row = add_flow(now, packet, flow_phase::waiting);
    admission_.push(now, flow, packet.label.urgency, asked_at(now, packet));
    ++tallies_.queued;
    emit(log_flow("flow_waits", flow)
             .with("expected_ms", as_count(expected))
             .with("hops", std::uint64_t{packet.label.hops}));
    tell_owner(flow, row);
}

auto packet_agent::start(millis now, const flow_packet& packet) -> void
{
    const auto flow = flow_from_caller(packet);
    // A packet of another service came past the check of its label.
    BRIARDRUM_INVARIANT(packet.label.service == tag_);
    auto& row = add_flow(now, packet, flow_phase::opening);
    ++tallies_.started;
    emit(log_flow("flow_started", flow)
             .with("hops", std::uint64_t{packet.label.hops})
             .with("waited_ms", std::uint64_t{packet.label.waited_ms}));
    server_.on_opening_sent(now);
    hooks_.send_to_server(packet);
    tell_owner(flow, row);
}

auto packet_agent::start_waiting(millis now) -> void
{
    if (draining_ || !server_.takes_flows(now))
    {
        give_up_waiting(now);
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
        if (hooks_.waited)
        {
            hooks_.waited(waited);
        }
        set_phase(now, *row, flow_phase::opening);
        ++tallies_.started;
        emit(log_flow("flow_started", *flow)
                 .with("waited_ms", as_count(waited)));
        auto packet = row->opening;
        packet.datagram = row->opening_bytes;
        server_.on_opening_sent(now);
        hooks_.send_to_server(packet);
    }
}

// The server takes no flows any more: what waits here goes to other agents.
auto packet_agent::give_up_waiting(millis now) -> void
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
        offer_on(now, packet);
    }
}

// Only for a first opening packet of which no copy can be under way. Another
// copy may have opened the flow at another agent by now, and a reset would
// break it there: what is older is dropped, and its caller tries again by
// itself.
auto packet_agent::refuse(millis now, const flow_packet& opening,
                          std::string_view reason) -> void
{
    const auto age = now - asked_at(now, opening);
    const auto first = opening.copies_before == 0 && age < refusal_window;
    emit(log_flow("flow_refused", flow_from_caller(opening))
             .with("reason", reason)
             .with("told", first ? "yes" : "no")
             .with("copies", std::uint64_t{opening.copies_before})
             .with("age_ms", as_count(age))
             .with("urgency", std::uint64_t{opening.label.urgency}));
    if (!first)
    {
        ++tallies_.dropped;
        return;
    }
    ++tallies_.refused;
    hooks_.send_reset(opening.destination, opening.source, 0);
}

auto packet_agent::drop_expired(millis now) -> void
{
    for (const auto& flow : admission_.take_expired(now))
    {
        // Its caller gives up by itself within 200 ms; a copy may have opened
        // the flow elsewhere.
        ++tallies_.expired;
        emit(log_flow("flow_expired", flow));
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
            now - row->phase_since > probe_answer_max)
        {
            give_up_probe(now, packet);
            return;
        }
        deliver(now, flow, *row, packet);
        return;
    }
    if (packet.label.kind == label_kind::locate)
    {
        if (is_uncertain(now))
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
    if (is_uncertain(now) && !searches_.is_known(flow))
    {
        probe_server(now, packet);
        return;
    }
    look_for_owner(now, packet);
}

auto packet_agent::deliver(millis now, const flow_key& flow, owned_flow& row,
                           const flow_packet& packet) -> void
{
    if (row.phase == flow_phase::waiting)
    {
        // The server knows nothing of the flow: an older flow's packet.
        ++tallies_.dropped;
        return;
    }
    if (opens_elsewhere(row, packet))
    {
        emit(log_flow("flow_not_ours", flow)
                 .with("phase", to_string(row.phase))
                 .with("reason", "handshake_of_another_server"));
        remove_flow(now, flow);
        start_waiting(now);
        look_for_owner(now, packet);
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
        start_waiting(now);
    }
}

// Two copies of an opening packet may reach two servers, which both accept. The
// flow opens at the one whose answer the caller acknowledges.
auto packet_agent::opens_elsewhere(const owned_flow& row,
                                   const flow_packet& packet) const -> bool
{
    if (row.confirmed || !packet.acknowledges ||
        !row.server_sequence.has_value())
    {
        return false;
    }
    return packet.acknowledged - *row.server_sequence > handshake_window;
}

// While full packets come, more of the request follows: the server works from
// the last one on, which is not full.
auto packet_agent::note_request(millis now, owned_flow& row,
                                const flow_packet& packet) -> void
{
    const auto more = packet.payload_bytes >= settings_.full_payload_bytes;
    const auto phase = more ? flow_phase::receiving : flow_phase::asking;
    if (row.phase == phase || row.phase == flow_phase::probing)
    {
        return;
    }
    set_phase(now, row, phase);
    if (more)
    {
        start_waiting(now);
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
    ++tallies_.relayed;
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
    emit(log_flow("server_probed", flow_from_caller(packet))
             .with("kind", to_string(packet.label.kind)));
    hooks_.send_to_server(packet);
}

// The server was shown a packet of the flow and said nothing: it may not be the
// flow's. What it was shown stays valid; no more is handed to it on a guess.
auto packet_agent::give_up_probe(millis now, const flow_packet& packet) -> void
{
    if (packet.label.kind == label_kind::locate)
    {
        ++tallies_.dropped;
        return;
    }
    look_for_owner(now, packet);
}

auto packet_agent::look_for_owner(millis now, const flow_packet& packet) -> void
{
    const auto flow = flow_from_caller(packet);
    const auto self = members_.self().id;
    const auto known = members_.agents_of(server_.service_name());
    std::vector<member_id> agents(known.begin(), known.end());
    std::erase(agents, self);
    switch (searches_.admit(now, flow, agents.size()))
    {
    case owner_search::verdict::search:
        break;
    case owner_search::verdict::hold:
        tallies_.dropped += held_.hold(flow, packet) ? 0 : 1;
        return;
    case owner_search::verdict::drop:
        ++tallies_.dropped;
        return;
    case owner_search::verdict::defer:
        ++tallies_.dropped;
        ++tallies_.search_deferred;
        emit(log_flow("search_deferred", flow)
                 .with("reason", "too_many_searches"));
        return;
    }
    ++tallies_.searched;
    auto label = packet.label;
    label.kind = label_kind::locate;
    label.service = tag_;
    for (const auto id : agents)
    {
        send_to(id, packet, label);
    }
    emit(log_flow("owner_searched", flow)
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
    redirects_.set(now, {flow, owner->id, owner->life, 0});
    const auto* probed = flows_.find(flow);
    if (probed != nullptr && probed->phase == flow_phase::probing)
    {
        remove_flow(now, flow);
    }
    if (!searches_.found(flow))
    {
        return;
    }
    ++tallies_.found;
    emit(log_flow("owner_found", flow).with("owner", owner->name));
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

// Every agent that is known has denied the flow. It may still be open at one
// that is not known here yet, so nothing is reset: the line tells the person on
// call, and the caller's deadline ends the flow.
auto packet_agent::on_unowned(millis now, const endpoint& from,
                              const flow_packet& notice) -> void
{
    const auto flow = flow_from_caller(notice);
    const auto denial = searches_.denied(now, flow, from.address);
    if (denial.has_value())
    {
        emit(log_flow("owner_denied", flow)
                 .with("denied_by", std::uint64_t{denial->agents})
                 .with("since_ms", as_count(denial->asked_for)));
    }
}

auto packet_agent::end_searches(millis now) -> void
{
    for (const auto& flow : searches_.end_over(now))
    {
        std::uint64_t dropped = 0;
        held_.release(flow,
                      [&](const flow_packet&)
                      {
                          ++dropped;
                      });
        ++tallies_.search_failed;
        emit(log_flow("owner_not_found", flow).with("dropped", dropped));
    }
}

// ---- The server's packets

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
    const auto held_here = row != nullptr && row->phase != flow_phase::probing;
    if (packet.resets && !held_here)
    {
        refuse_foreign_reset(now, flow, row);
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
        refuse_foreign_reset(now, flow, row);
        return;
    }
    hooks_.send_to_caller(packet);
    on_answer(now, flow, *row, packet);
}

// A reset in answer to an opening packet: no server process is there. Nothing
// has run, and another agent may take the flow.
auto packet_agent::on_opening_refused(millis now, const flow_key& flow,
                                      owned_flow& row) -> void
{
    const auto bytes = row.opening_bytes;
    auto packet = opening_of(now, row);
    packet.datagram = bytes;
    server_.on_opening_refused(now);
    emit(log_flow("opening_refused", flow)
             .with("hops", std::uint64_t{packet.label.hops}));
    remove_flow(now, flow);
    give_up_waiting(now);
    offer_on(now, packet);
}

// A server that was shown a packet of a flow that is not its own, or accepted
// one that opened at another server, may answer with a reset; the flow's owner
// still serves it.
auto packet_agent::refuse_foreign_reset(millis now, const flow_key& flow,
                                        const owned_flow* row) -> void
{
    ++tallies_.dropped;
    emit(
        log_flow("reset_withheld", flow)
            .with("reason", "flow_not_held")
            .with("phase", row == nullptr ? "unknown" : to_string(row->phase)));
    if (row != nullptr)
    {
        remove_flow(now, flow);
        start_waiting(now);
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
        tell_owner(flow, row);
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
        if (hooks_.answered)
        {
            hooks_.answered(now - row.phase_since);
        }
        set_phase(now, row, flow_phase::idle);
        start_waiting(now);
    }
    if (packet.resets)
    {
        remove_flow(now, flow);
        start_waiting(now);
    }
}

// A flow that was opened before this agent started.
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
    emit(log_flow("flow_adopted", flow));
    tell_owner(flow, row);
    return row;
}

auto packet_agent::on_returned(millis now, const flow_packet& packet) -> void
{
    ++tallies_.returned;
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
        emit(log_flow("flow_returned", flow)
                 .with("hops", std::uint64_t{again.label.hops}));
        if (again.label.hops >= settings_.offers_max)
        {
            refuse(now, again, "server_full");
            return;
        }
        again.label.best_wait = packet_label::best_wait_max;
        offer_on(now, again);
        return;
    }
    if (confirmed)
    {
        ++tallies_.reset;
        emit(log_flow("flow_reset", flow)
                 .with("reason", "server_lost_flow")
                 .with("phase", to_string(phase)));
        hooks_.send_reset(route, flow.caller, acknowledged);
        return;
    }
    // Whoever asked is searching already; a search by everyone who was asked
    // would be one of all for all.
    if (asked)
    {
        ++tallies_.dropped;
        return;
    }
    look_for_owner(now, again);
}

// ---- The server itself

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

// Flows of an incarnation that is gone: callers whose flows were open here are
// told at once, so that they can try again. A flow so young that it may be open
// at the new incarnation, from before its first heartbeat, is left to the
// server to judge.
auto packet_agent::drop_server_flows(millis now) -> void
{
    const auto announced_within = settings_.heartbeat_interval * 2;
    std::vector<flow_key> gone;
    for (const auto& [flow, row] : flows_.rows())
    {
        const auto closed = row.caller_closed && row.server_closed;
        const auto older = now - row.known_since > announced_within;
        if (row.phase != flow_phase::waiting && !closed && older)
        {
            gone.push_back(flow);
        }
    }
    for (const auto& flow : gone)
    {
        const auto* row = flows_.find(flow);
        if (row->confirmed)
        {
            ++tallies_.reset;
            emit(log_flow("flow_reset", flow)
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
    give_up_waiting(now);
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

// The opening packet, with the time that it has spent here; its bytes are the
// row's and must be copied before that is removed.
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
        admission_.occupy();
    }
    if (!uses_slot(phase) && uses_slot(before))
    {
        const auto answered =
            before == flow_phase::asking && phase == flow_phase::idle;
        admission_.vacate(answered
                              ? std::optional<millis>(now - row.phase_since)
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

auto packet_agent::tell_owner(const flow_key& flow, owned_flow& row) -> void
{
    const auto order = order_of(flow);
    const auto self = members_.self().id;
    packet_label label;
    label.kind = label_kind::owned;
    label.service = tag_;
    const auto tell = [&](std::size_t position, member_id& told)
    {
        const auto id = position < order.size() ? order[position] : 0;
        if (id == told)
        {
            return;
        }
        told = id;
        const auto* record =
            id == 0 || id == self ? nullptr : members_.find(id);
        if (record != nullptr)
        {
            hooks_.send_notice(record->data_address, row.caller, row.route,
                               label);
        }
    };
    for (std::size_t position = 0; position < row.told.size(); ++position)
    {
        tell(position, row.told[position]);
    }
}

auto packet_agent::retell_moved_homes() -> void
{
    if (members_.epoch() == told_epoch_)
    {
        return;
    }
    told_epoch_ = members_.epoch();
    for (auto& [flow, row] : flows_.rows())
    {
        if (row.phase != flow_phase::probing)
        {
            tell_owner(flow, row);
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
    std::vector<flow_key> over;
    for (auto& [flow, row] : flows_.rows())
    {
        const auto phase_time = now - row.phase_since;
        const auto stuck =
            (row.phase == flow_phase::opening &&
             phase_time > opening_time_max) ||
            (row.phase == flow_phase::asking && phase_time > asking_time_max);
        if (stuck)
        {
            ++tallies_.unanswered;
            emit(log_flow("flow_unanswered", flow)
                     .with("phase", to_string(row.phase))
                     .with("since_ms", as_count(phase_time)));
        }
        if (stuck)
        {
            set_phase(now, row, flow_phase::idle);
        }
        const auto stalled = row.phase == flow_phase::receiving &&
                             now - row.last_used > transfer_stalled_after;
        if (stalled)
        {
            set_phase(now, row, flow_phase::idle);
        }
        const auto closed = (row.caller_closed && row.server_closed) ||
                            row.phase == flow_phase::probing;
        const auto idle = now - row.last_used;
        if (idle > settings_.flow_lifetime || (closed && idle > closed_linger))
        {
            over.push_back(flow);
        }
    }
    for (const auto& flow : over)
    {
        remove_flow(now, flow);
    }
    if (now >= next_table_expiry_)
    {
        next_table_expiry_ = now + table_expiry_interval;
        redirects_.expire(now, settings_.flow_lifetime);
    }
}

// Flows may be open at the server that this agent never saw.
auto packet_agent::is_uncertain(millis now) const -> bool
{
    return (!server_.is_known() || server_.predates_agent()) &&
           now - started_at_ < settings_.flow_lifetime;
}

auto packet_agent::tick(millis now) -> void
{
    drop_expired(now);
    start_waiting(now);
    end_searches(now);
    retell_moved_homes();
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

auto packet_agent::is_quiet() const -> bool
{
    return std::all_of(flows_.rows().begin(), flows_.rows().end(),
                       [](const auto& it)
                       {
                           return it.row.caller_closed && it.row.server_closed;
                       });
}

auto packet_agent::server() const -> const served_server&
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

auto packet_agent::tallies() const -> const agent_tallies&
{
    return tallies_;
}

} // namespace briardrum
