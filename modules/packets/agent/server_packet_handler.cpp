#include "packets/agent/server_packet_handler.hpp"

namespace briardrum
{

namespace
{

// A caller that receives an answer acknowledges it within two round trips. A
// server that resets the flow of a silent caller has only given up on it.
constexpr millis caller_silence_max = milliseconds(250);
// A server discards flows that have been idle for many seconds. One on which it
// answered within this time is only lost with its process.
constexpr millis answer_recent = seconds(2);

} // namespace

server_packet_handler::server_packet_handler(agent_state& state,
                                             flow_opener& opener,
                                             owner_locator& locator,
                                             ownership_notices& notices)
    : state_(state), opener_(opener), locator_(locator), notices_(notices)
{
}

auto server_packet_handler::on_packet(millis now, const flow_packet& packet)
    -> void
{
    state_.server.on_packet(now);
    if (packet.returned)
    {
        on_returned(now, packet);
        return;
    }
    const auto flow = flow_from_server(packet);
    auto* row = state_.flows.find(flow);
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
        opener_.on_opening_refused(now, flow, *row);
        return;
    }
    if (packet.resets && !row->confirmed)
    {
        withhold_reset(now, flow, row);
        return;
    }
    state_.hooks.send_to_caller(packet);
    on_answer(now, flow, *row, packet);
}

// A server may answer with a reset if it received a probe for a flow that it
// does not hold, or accepted an opening packet whose flow was opened at another
// server. The owner of the flow still serves it.
auto server_packet_handler::withhold_reset(millis now, const flow_key& flow,
                                           const owned_flow* row) -> void
{
    ++state_.counters.dropped;
    state_.emit(
        state_.flow_event("reset_withheld", flow)
            .with("reason", "flow_not_held")
            .with("phase", row == nullptr ? "unknown" : to_string(row->phase)));
    if (row != nullptr)
    {
        state_.remove_flow(now, flow);
        opener_.start_queued_flows(now);
    }
}

auto server_packet_handler::on_answer(millis now, const flow_key& flow,
                                      owned_flow& row,
                                      const flow_packet& packet) -> void
{
    row.last_used = now;
    if (packet.opens)
    {
        const auto first = !row.server_sequence.has_value();
        row.server_sequence = packet.sequence;
        if (packet.acknowledges)
        {
            row.data_start = packet.acknowledged;
        }
        state_.server.on_opening_answered(now);
        if (first && is_undecided_hedge(row))
        {
            notices_.report_hedge(row);
        }
        return;
    }
    if (row.phase == flow_phase::probing)
    {
        state_.set_phase(now, row, flow_phase::idle);
        notices_.announce(flow, row);
    }
    judge_answer(now, flow, row, packet);
    row.answered_at = now;
    row.confirmed = true;
    row.server_closed = row.server_closed || packet.closes;
    const auto answers = packet.payload_bytes > 0 || packet.closes;
    if (answers && row.phase == flow_phase::receiving)
    {
        state_.set_phase(now, row, flow_phase::idle);
    }
    if (answers && row.phase == flow_phase::asking)
    {
        if (state_.hooks.record_answer_time)
        {
            state_.hooks.record_answer_time(now - row.phase_since);
        }
        state_.set_phase(now, row, flow_phase::idle);
        opener_.start_queued_flows(now);
    }
    if (packet.resets)
    {
        state_.remove_flow(now, flow);
        opener_.start_queued_flows(now);
    }
}

// The server breaks off a request if it ends the flow without an answer, or
// resets it while the caller is still receiving. Once either end has closed the
// flow, its end is no fault.
auto server_packet_handler::judge_answer(millis now, const flow_key& flow,
                                         const owned_flow& row,
                                         const flow_packet& packet) -> void
{
    const auto asked = row.phase == flow_phase::asking;
    const auto closed = row.caller_closed || row.server_closed;
    const auto complete = asked && !row.request_has_gap;
    const auto receiving = row.data_end.has_value() &&
                           now - row.caller_heard_at <= caller_silence_max;
    const auto ends = complete && packet.closes && packet.payload_bytes == 0;
    const auto resets = packet.resets && (complete || receiving);
    if (!closed && (ends || resets))
    {
        state_.conduct.on_broken_off(now, flow, row.known_since);
    }
    else if (asked && (packet.payload_bytes > 0 || packet.closes))
    {
        state_.conduct.on_answer(now, flow);
    }
}

// Adds a flow that was opened before this agent started.
auto server_packet_handler::adopt_from_server(millis now, const flow_key& flow,
                                              const flow_packet& packet)
    -> owned_flow&
{
    auto& row = state_.flows.insert(flow);
    row.caller = packet.destination;
    row.route = packet.source;
    row.phase = flow_phase::idle;
    row.phase_since = now;
    row.known_since = now;
    row.last_used = now;
    state_.emit(state_.flow_event("flow_adopted", flow));
    notices_.announce(flow, row);
    return row;
}

auto server_packet_handler::on_returned(millis now, const flow_packet& packet)
    -> void
{
    ++state_.counters.returned;
    const auto flow = flow_from_caller(packet);
    const auto* found = state_.flows.find(flow);
    if (found == nullptr ||
        (packet.opens && found->phase != flow_phase::opening))
    {
        return;
    }
    const auto row = *found;
    auto again = packet;
    again.returned = false;
    again.label = state_.opening_of(now, row).label;
    again.label.service = state_.tag;
    again.label.kind = label_kind::relay;
    state_.remove_flow(now, flow);
    if (packet.opens && is_undecided_hedge(row))
    {
        // The caller's own opening packets go on without it.
        state_.server.on_opening_answered(now);
        return;
    }
    if (packet.opens)
    {
        opener_.on_returned(now, again);
        return;
    }
    if (row.confirmed)
    {
        if (is_in_use(now, row))
        {
            state_.server.on_flow_lost(now);
        }
        reset_flow(flow, row, "server_lost_flow");
        return;
    }
    if (!row.asked_by.is_none())
    {
        notices_.answer(row.asked_by, again, label_kind::unowned);
    }
    // The agent that asked is already searching. If every agent that was asked
    // searched as well, one search would cause messages from all agents to all
    // others.
    if (row.opening.label.kind == label_kind::locate)
    {
        ++state_.counters.dropped;
        return;
    }
    locator_.search(now, again);
    locator_.on_denied_by_server(flow);
}

// Returns true if the server answered on the flow a short time ago and has no
// reason of its own to discard it. The age of a flow that was not opened here
// is not known.
auto server_packet_handler::is_in_use(millis now, const owned_flow& row) const
    -> bool
{
    const auto answered =
        row.answered_at.has_value() && now - *row.answered_at <= answer_recent;
    return answered && row.opening.opens && !row.caller_closed &&
           !row.server_closed &&
           now - row.known_since < state_.settings.flow_lifetime;
}

auto server_packet_handler::reset_flow(const flow_key& flow,
                                       const owned_flow& row,
                                       std::string_view reason) -> void
{
    ++state_.counters.reset;
    state_.emit(state_.flow_event("flow_reset", flow)
                    .with("reason", reason)
                    .with("phase", to_string(row.phase)));
    state_.hooks.send_reset(row.route, row.caller, row.caller_acknowledged);
}

// Removes the flows of a server incarnation that has ended. Callers whose flows
// were open are reset at once, so that they can retry. A flow young enough to
// be open at the new incarnation, from before its first heartbeat, is kept and
// left to the server to accept or reset.
auto server_packet_handler::drop_server_flows(millis now) -> void
{
    const auto announced_within = state_.settings.heartbeat_interval * 2;
    std::vector<flow_key> lost;
    for (const auto& [flow, row] : state_.flows.rows())
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
        drop_flow(now, flow, "server_replaced");
    }
}

auto server_packet_handler::drop_flows_of_absent_server(millis now) -> void
{
    std::vector<flow_key> held;
    std::vector<flow_key> unanswered;
    for (const auto& [flow, row] : state_.flows.rows())
    {
        const auto sent = row.phase == flow_phase::opening &&
                          !row.server_sequence.has_value();
        const auto closed = row.caller_closed && row.server_closed;
        if (sent)
        {
            unanswered.push_back(flow);
        }
        else if (row.phase != flow_phase::waiting && !closed)
        {
            held.push_back(flow);
        }
    }
    for (const auto& flow : held)
    {
        drop_flow(now, flow, "server_absent");
    }
    for (const auto& flow : unanswered)
    {
        if (auto* row = state_.flows.find(flow))
        {
            opener_.on_opening_refused(now, flow, *row);
        }
    }
}

// Resets the caller if the flow was open, so that it can retry at once.
auto server_packet_handler::drop_flow(millis now, const flow_key& flow,
                                      std::string_view reason) -> void
{
    const auto* row = state_.flows.find(flow);
    if (row->confirmed)
    {
        reset_flow(flow, *row, reason);
    }
    state_.remove_flow(now, flow);
}

} // namespace briardrum
