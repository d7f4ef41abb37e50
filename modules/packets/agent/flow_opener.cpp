#include "packets/agent/flow_opener.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace briardrum
{

namespace
{

// Time that the server has to answer an opening packet before a retransmission
// of it is delivered to the server as well.
constexpr millis opening_resend_delay = milliseconds(100);
// A caller first retransmits an opening packet after 200 ms. Until this long
// after the first one, with 50 ms for the network, no retransmission can have
// opened the flow.
constexpr millis refusal_window = milliseconds(150);

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

} // namespace

flow_opener::flow_opener(agent_state& state, ownership_notices& notices)
    : state_(state), notices_(notices)
{
}

auto flow_opener::on_packet(millis now, const endpoint& from,
                            const flow_packet& packet) -> void
{
    const auto flow = flow_from_caller(packet);
    drop_stale_hedge(now, flow);
    if (auto* row = state_.flows.find(flow))
    {
        on_repeated_opening(now, flow, *row);
        return;
    }
    const auto* owner = state_.redirects.touch(now, flow);
    if (owner != nullptr && packet.label.kind == label_kind::forward &&
        state_.relay(from, packet, *owner))
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

auto flow_opener::on_hedge(millis now, const endpoint& from,
                           const flow_packet& packet) -> void
{
    const auto flow = flow_from_caller(packet);
    const auto known = state_.flows.find(flow) != nullptr;
    if (known || !may_start_hedge(now))
    {
        ++(known ? state_.counters.hedges_of_known_flows
                 : state_.counters.hedges_refused_by_load);
        state_.emit(
            state_.flow_event("hedge_refused", flow)
                .with("reason", known ? "flow_known" : "no_idle_slot")
                .with("waited_ms", std::uint64_t{packet.label.waited_ms}));
        return;
    }
    ++state_.counters.hedges_started;
    start_flow(now, packet).hedged_by = from;
}

// The row stays if the server has the opening packet: its answer is still to
// come, and must not be taken for that of an unknown flow.
auto flow_opener::on_opened_elsewhere(millis now, const flow_packet& notice)
    -> void
{
    const auto flow = flow_from_caller(notice);
    auto* row = state_.flows.find(flow);
    if (notice.label.best_position != packet_label::hedged_mark ||
        row == nullptr || row->confirmed)
    {
        return;
    }
    if (row->phase == flow_phase::waiting)
    {
        state_.remove_flow(now, flow);
    }
    else if (row->phase == flow_phase::opening)
    {
        state_.set_phase(now, *row, flow_phase::idle);
        start_queued_flows(now);
    }
}

// A server that leaves opening packets unanswered is retried only with packets
// that other agents can take over.
auto flow_opener::may_start_hedge(millis now) const -> bool
{
    return state_.accepts_new_flows(now) && !state_.server.is_silent(now) &&
           state_.admission.has_idle_slot() &&
           state_.warm_up.allows_opening(now);
}

// The caller sends a copy because neither server's answer has reached it. The
// copy is treated as if the hedge had not been sent.
auto flow_opener::drop_stale_hedge(millis now, const flow_key& flow) -> void
{
    const auto* row = state_.flows.find(flow);
    if (row != nullptr && is_undecided_hedge(*row) &&
        now - row->known_since >= opening_resend_delay)
    {
        state_.remove_flow(now, flow);
    }
}

auto flow_opener::on_repeated_opening(millis now, const flow_key& flow,
                                      owned_flow& row) -> void
{
    row.last_used = now;
    if (row.phase != flow_phase::opening ||
        now - row.phase_since < opening_resend_delay)
    {
        return;
    }
    const auto bytes = row.opening_bytes;
    auto packet = state_.opening_of(now, row);
    packet.datagram = bytes;
    // A server that has answered holds the flow; before that, the flow is still
    // new and the policy applies to it.
    const auto held_back =
        state_.is_held_by_policy() && !row.server_sequence.has_value();
    if (!state_.server.is_silent(now) && !held_back)
    {
        if (may_send_opening(now))
        {
            send_opening(now, packet);
            return;
        }
        // The flow may be open at the server, and no other may take it.
        if (row.server_sequence.has_value())
        {
            ++state_.counters.dropped;
            return;
        }
    }
    offer_anew_if_evacuated(packet.label);
    state_.remove_flow(now, flow);
    forward_offer(now, packet);
}

// The flow settled here after all offers were used up. It would be dropped
// instead of offered to the servers of other data centres.
auto flow_opener::offer_anew_if_evacuated(packet_label& label) const -> void
{
    label.hops = state_.is_evacuated() ? 0 : label.hops;
}

auto flow_opener::offer(millis now, const flow_packet& packet) -> void
{
    if (state_.accepts_new_flows(now) && state_.admission.has_free_slot() &&
        may_send_opening(now))
    {
        start_flow(now, packet);
        return;
    }
    forward_offer(now, packet);
}

// Forwards an opening packet to the next agent in the rendezvous order or, at
// the end, to the visited agent with the shortest expected wait.
auto flow_opener::forward_offer(millis now, const flow_packet& packet) -> void
{
    const auto order = offer_order(flow_from_caller(packet));
    auto label = packet.label;
    std::size_t next = label.hops;
    if (next < order.size() && order[next] == state_.members.self().id)
    {
        ++next;
    }
    if (state_.accepts_new_flows(now))
    {
        add_own_wait(now, packet, order, label);
    }
    if (next >= order.size() || next >= state_.settings.offers_max)
    {
        send_settle(now, packet, order, label);
        return;
    }
    label.kind = label_kind::offer;
    label.hops = static_cast<std::uint8_t>(
        std::max<std::size_t>(std::size_t{label.hops} + 1, next));
    ++state_.counters.forwarded_offers;
    state_.remember_offer(now, packet, order[next]);
    state_.send_to(order[next], packet, label);
}

// Returns the rendezvous order of a flow without members that are unknown or
// suspect.
auto flow_opener::offer_order(const flow_key& flow) -> std::vector<member_id>
{
    auto order = state_.order_of(flow);
    std::erase_if(order,
                  [&](member_id id)
                  {
                      const auto* record = state_.members.find(id);
                      return record == nullptr ||
                             record->state == member_state::suspect;
                  });
    return order;
}

// Adds the expected wait at this agent to the label if it is the shortest yet.
auto flow_opener::add_own_wait(millis now, const flow_packet& packet,
                               std::span<const member_id> order,
                               packet_label& label) -> void
{
    const auto expected =
        std::max(state_.admission.expected_wait(now, label.urgency,
                                                first_sent_at(now, packet)),
                 warm_up_wait(now));
    const auto units = expected.count / packet_label::best_wait_unit.count;
    const auto wait = static_cast<std::uint8_t>(
        std::min<std::int64_t>(units, packet_label::best_wait_max - 1));
    const auto place =
        std::find(order.begin(), order.end(), state_.members.self().id);
    const auto position = place - order.begin();
    if (place != order.end() && wait < label.best_wait &&
        position <= packet_label::hops_max)
    {
        label.best_wait = wait;
        label.best_position = static_cast<std::uint8_t>(position);
    }
}

// Sends an opening packet that every agent has passed on to the one with the
// shortest expected wait.
auto flow_opener::send_settle(millis now, const flow_packet& packet,
                              std::span<const member_id> order,
                              packet_label label) -> void
{
    if (label.best_wait == packet_label::best_wait_max ||
        label.best_position >= order.size())
    {
        if (state_.is_service_evacuated())
        {
            refuse(now, packet, "evacuated");
            return;
        }
        ++state_.counters.dropped;
        state_.emit(state_.flow_event("flow_dropped", flow_from_caller(packet))
                        .with("reason", "no_server_takes_flows")
                        .with("agents", std::uint64_t{order.size()})
                        .with("hops", std::uint64_t{label.hops}));
        return;
    }
    label.kind = label_kind::settle;
    const auto target = order[label.best_position];
    if (target == state_.members.self().id)
    {
        settle(now, packet);
        return;
    }
    ++state_.counters.settled_elsewhere;
    state_.remember_offer(now, packet, target);
    state_.send_to(target, packet, label);
}

// The agent that chose this one counted positions in another view of the
// members, or the server has stopped accepting flows since: the packet settles
// at the next agent of the order.
auto flow_opener::pass_on(millis now, const flow_packet& packet) -> void
{
    const auto flow = flow_from_caller(packet);
    auto order = offer_order(flow);
    std::erase(order, state_.members.self().id);
    auto label = packet.label;
    if (order.empty() || label.hops >= packet_label::hops_max)
    {
        if (state_.is_service_evacuated())
        {
            refuse(now, packet, "evacuated");
            return;
        }
        ++state_.counters.dropped;
        state_.emit(state_.flow_event("flow_dropped", flow)
                        .with("reason", "server_gone")
                        .with("agents", std::uint64_t{order.size()})
                        .with("hops", std::uint64_t{label.hops}));
        return;
    }
    const auto target = order[label.hops % order.size()];
    ++label.hops;
    ++state_.counters.settled_elsewhere;
    state_.remember_offer(now, packet, target);
    state_.send_to(target, packet, label);
}

auto flow_opener::settle(millis now, const flow_packet& packet) -> void
{
    if (!state_.accepts_new_flows(now))
    {
        pass_on(now, packet);
        return;
    }
    const auto allowed = may_send_opening(now);
    switch (state_.admission.decide(now, packet.label.urgency,
                                    first_sent_at(now, packet),
                                    warm_up_wait(now)))
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
    refuse(now, packet, allowed ? "queue_full" : "warm_up_limit");
}

auto flow_opener::enqueue(millis now, const flow_packet& packet) -> void
{
    const auto flow = flow_from_caller(packet);
    const auto expected =
        std::max(state_.admission.expected_wait(now, packet.label.urgency,
                                                first_sent_at(now, packet)),
                 warm_up_wait(now));
    auto& row = state_.add_flow(now, packet, flow_phase::waiting);
    state_.admission.push(now, flow, packet.label.urgency,
                          first_sent_at(now, packet));
    ++state_.counters.queued;
    state_.emit(state_.flow_event("flow_waits", flow)
                    .with("expected_ms", as_count(expected))
                    .with("hops", std::uint64_t{packet.label.hops}));
    notices_.announce(flow, row);
}

auto flow_opener::start_flow(millis now, const flow_packet& packet)
    -> owned_flow&
{
    const auto flow = flow_from_caller(packet);
    // The caller passed on a packet without checking its service.
    BRIARDRUM_INVARIANT(packet.label.service == state_.tag);
    auto& row = state_.add_flow(now, packet, flow_phase::opening);
    ++state_.counters.started;
    state_.emit(state_.flow_event("flow_started", flow)
                    .with("hops", std::uint64_t{packet.label.hops})
                    .with("waited_ms", std::uint64_t{packet.label.waited_ms}));
    state_.server.on_opening_sent(now);
    send_opening(now, packet);
    notices_.announce(flow, row);
    return row;
}

// Returns false, and counts it, if the warm-up limit of the server is used up.
auto flow_opener::may_send_opening(millis now) -> bool
{
    const auto allowed = state_.warm_up.allows_opening(now);
    state_.counters.openings_held_back += allowed ? 0 : 1;
    return allowed;
}

// Time until the warm-up limit of the server allows a flow to start that is
// added to the queue now.
auto flow_opener::warm_up_wait(millis now) const -> millis
{
    return state_.warm_up.expected_wait(now, state_.admission.waiting());
}

// Every opening packet for the server goes through here, so that each counts
// towards the warm-up limit.
auto flow_opener::send_opening(millis now, const flow_packet& packet) -> void
{
    state_.counters.warm_up_openings += state_.warm_up.is_limited(now) ? 1 : 0;
    state_.warm_up.on_opening_sent(now);
    state_.hooks.send_to_server(packet);
}

auto flow_opener::start_queued_flows(millis now) -> void
{
    if (!state_.accepts_new_flows(now))
    {
        redistribute_queued_flows(now);
        return;
    }
    while (state_.warm_up.allows_opening(now))
    {
        const auto flow = state_.admission.pop(now);
        if (!flow.has_value())
        {
            return;
        }
        auto* row = state_.flows.find(*flow);
        if (row == nullptr)
        {
            continue;
        }
        const auto waited = now - row->phase_since;
        if (state_.hooks.record_queue_wait)
        {
            state_.hooks.record_queue_wait(waited);
        }
        state_.set_phase(now, *row, flow_phase::opening);
        ++state_.counters.started;
        state_.emit(state_.flow_event("flow_started", *flow)
                        .with("waited_ms", as_count(waited)));
        auto packet = row->opening;
        packet.datagram = row->opening_bytes;
        state_.server.on_opening_sent(now);
        send_opening(now, packet);
    }
}

// The server no longer accepts flows: offers the queued flows to other agents.
auto flow_opener::redistribute_queued_flows(millis now) -> void
{
    for (const auto& flow : state_.admission.take_all())
    {
        auto* row = state_.flows.find(flow);
        if (row == nullptr)
        {
            continue;
        }
        const auto bytes = row->opening_bytes;
        auto packet = state_.opening_of(now, *row);
        packet.datagram = bytes;
        packet.label.best_wait = packet_label::best_wait_max;
        offer_anew_if_evacuated(packet.label);
        state_.remove_flow(now, flow);
        forward_offer(now, packet);
    }
}

// A reset in answer to an opening packet means that no server process is
// running. Nothing has been executed, and another agent may take the flow.
auto flow_opener::on_opening_refused(millis now, const flow_key& flow,
                                     owned_flow& row) -> void
{
    const auto bytes = row.opening_bytes;
    auto packet = state_.opening_of(now, row);
    packet.datagram = bytes;
    state_.server.on_opening_refused(now);
    state_.warm_up.on_restart_suspected();
    state_.emit(state_.flow_event("opening_refused", flow)
                    .with("hops", std::uint64_t{packet.label.hops}));
    const auto hedge = is_undecided_hedge(row);
    state_.remove_flow(now, flow);
    redistribute_queued_flows(now);
    if (!hedge)
    {
        forward_offer(now, packet);
    }
}

// Sends a reset only for a first opening packet whose retransmission cannot be
// in flight. A retransmission may have opened the flow at another agent, and a
// reset would break it there. Older packets are dropped, and their callers
// retry by themselves.
auto flow_opener::refuse(millis now, const flow_packet& opening,
                         std::string_view reason) -> void
{
    const auto age = now - first_sent_at(now, opening);
    const auto first = opening.retransmissions == 0 && age < refusal_window;
    state_.emit(state_.flow_event("flow_refused", flow_from_caller(opening))
                    .with("reason", reason)
                    .with("told", first ? "yes" : "no")
                    .with("copies", std::uint64_t{opening.retransmissions})
                    .with("age_ms", as_count(age))
                    .with("urgency", std::uint64_t{opening.label.urgency}));
    if (!first)
    {
        ++state_.counters.dropped;
        return;
    }
    ++state_.counters.refused;
    state_.hooks.send_reset(opening.destination, opening.source, 0);
}

auto flow_opener::drop_expired(millis now) -> void
{
    for (const auto& flow : state_.admission.take_expired(now))
    {
        // The caller gives up within 200 ms; no reset is sent, because a
        // retransmission may have opened the flow at another agent.
        ++state_.counters.expired;
        state_.emit(state_.flow_event("flow_expired", flow));
        state_.remove_flow(now, flow);
    }
}

auto flow_opener::on_returned(millis now, const flow_packet& packet) -> void
{
    auto again = packet;
    state_.server.on_opening_answered(now);
    again.label.hops =
        static_cast<std::uint8_t>(std::min(again.label.hops + 1, 15));
    state_.emit(state_.flow_event("flow_returned", flow_from_caller(packet))
                    .with("hops", std::uint64_t{again.label.hops}));
    if (again.label.hops >= state_.settings.offers_max)
    {
        refuse(now, again, "server_full");
        return;
    }
    again.label.best_wait = packet_label::best_wait_max;
    forward_offer(now, again);
}

} // namespace briardrum
