#include "packets/agent/open_flow_router.hpp"

namespace briardrum
{

namespace
{

// Both ends have at most 16 packets of 1,200 bytes in flight, so the first
// acknowledgement of a handshake by the caller is at most this far from the
// initial sequence number of the server.
constexpr std::uint32_t handshake_window = 16 * 1200;
// A server that holds a probed flow answers before the caller retransmits, 200
// ms later. A server that has only accepted the opening packet stays silent.
constexpr millis probe_timeout = milliseconds(150);

} // namespace

open_flow_router::open_flow_router(agent_state& state, flow_opener& opener,
                                   owner_locator& locator,
                                   ownership_notices& notices)
    : state_(state), opener_(opener), locator_(locator), notices_(notices)
{
}

auto open_flow_router::on_packet(millis now, const endpoint& from,
                                 const flow_packet& packet) -> void
{
    const auto flow = flow_from_caller(packet);
    if (auto* row = state_.flows.find(flow))
    {
        if (is_lost_hedge(*row, packet))
        {
            on_lost_hedge(now, from, flow, packet);
            return;
        }
        if (packet.label.kind == label_kind::locate)
        {
            answer_search(from, *row, packet);
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
    on_unknown_flow(now, from, packet);
}

auto open_flow_router::on_unknown_flow(millis now, const endpoint& from,
                                       const flow_packet& packet) -> void
{
    const auto flow = flow_from_caller(packet);
    if (packet.label.kind == label_kind::locate)
    {
        if (state_.may_have_unknown_flows(now))
        {
            probe_server(now, packet).asked_by = from;
        }
        else
        {
            notices_.answer(from, packet, label_kind::unowned);
        }
        return;
    }
    const auto* owner = state_.redirects.touch(now, flow);
    if (owner != nullptr)
    {
        if (state_.relay(from, packet, *owner))
        {
            return;
        }
        state_.redirects.erase(flow);
    }
    const auto* offered = state_.offers.touch(now, flow);
    if (offered != nullptr && state_.relay(from, packet, *offered))
    {
        return;
    }
    if (state_.may_have_unknown_flows(now) && !locator_.has_recent_search(flow))
    {
        probe_server(now, packet);
        return;
    }
    locator_.search(now, packet);
}

// A flow that is being probed is answered for once the server has responded.
auto open_flow_router::answer_search(const endpoint& from, owned_flow& row,
                                     const flow_packet& packet) -> void
{
    if (row.phase == flow_phase::probing)
    {
        row.asked_by = from;
        return;
    }
    notices_.answer(from, packet, label_kind::owned);
}

auto open_flow_router::deliver(millis now, const flow_key& flow,
                               owned_flow& row, const flow_packet& packet)
    -> void
{
    if (is_open_at_another_server(row, packet))
    {
        state_.emit(state_.flow_event("flow_not_ours", flow)
                        .with("phase", to_string(row.phase))
                        .with("reason", "handshake_of_another_server"));
        state_.remove_flow(now, flow);
        opener_.start_queued_flows(now);
        locator_.search(now, packet);
        return;
    }
    if (row.phase == flow_phase::waiting)
    {
        // The server has not seen this flow, so the packet belongs to an older
        // flow.
        ++state_.counters.dropped;
        return;
    }
    row.last_used = now;
    row.caller_heard_at = now;
    if (packet.acknowledges)
    {
        const auto undecided = is_undecided_hedge(row);
        row.confirmed = row.confirmed || row.server_sequence.has_value();
        row.caller_acknowledged = packet.acknowledged;
        if (undecided && row.confirmed)
        {
            on_hedge_won(now, flow, row);
        }
    }
    if (packet.payload_bytes > 0)
    {
        note_request(now, flow, row, packet);
    }
    row.caller_closed = row.caller_closed || packet.closes;
    state_.hooks.send_to_server(packet);
    if (packet.resets)
    {
        state_.remove_flow(now, flow);
        opener_.start_queued_flows(now);
    }
}

// An opening packet and its retransmission may reach two servers that both
// accept it. The flow is open at the server whose answer the caller
// acknowledges.
auto open_flow_router::is_open_at_another_server(
    const owned_flow& row, const flow_packet& packet) const -> bool
{
    if (row.confirmed || !packet.acknowledges)
    {
        return false;
    }
    if (!row.server_sequence.has_value())
    {
        // The answer that the caller acknowledges did not pass this agent. Only
        // a hedge makes that likely enough to search for the owner at once.
        return row.opening.opens && packet.label.kind == label_kind::forward &&
               packet.label.best_position == packet_label::hedged_mark;
    }
    return packet.acknowledged - *row.server_sequence > handshake_window;
}

// The caller acknowledges an answer that this agent's server has not given.
auto open_flow_router::is_lost_hedge(const owned_flow& row,
                                     const flow_packet& packet) const -> bool
{
    return is_undecided_hedge(row) && packet.acknowledges &&
           (!row.server_sequence.has_value() ||
            is_open_at_another_server(row, packet));
}

// The owner has usually been announced to this agent, which is one of the first
// of the flow's order.
auto open_flow_router::on_lost_hedge(millis now, const endpoint& from,
                                     const flow_key& flow,
                                     const flow_packet& packet) -> void
{
    state_.emit(state_.flow_event("hedge_lost", flow)
                    .with("kind", to_string(packet.label.kind)));
    state_.remove_flow(now, flow);
    opener_.start_queued_flows(now);
    if (packet.label.kind == label_kind::locate)
    {
        notices_.answer(from, packet, label_kind::unowned);
        return;
    }
    const auto* owner = state_.redirects.touch(now, flow);
    if (owner == nullptr || !state_.relay(from, packet, *owner))
    {
        locator_.search(now, packet);
    }
}

auto open_flow_router::on_hedge_won(millis now, const flow_key& flow,
                                    owned_flow& row) -> void
{
    ++state_.counters.hedges_won;
    state_.emit(state_.flow_event("hedge_won", flow)
                    .with("since_ms", as_count(now - row.known_since)));
    notices_.announce(flow, row);
}

// A full packet is followed by more of the request: the server starts to work
// once the last packet, which is not full, has arrived.
auto open_flow_router::note_request(millis now, const flow_key& flow,
                                    owned_flow& row, const flow_packet& packet)
    -> void
{
    // A retransmission of data that the server has may arrive after the answer,
    // and would never be answered again.
    const auto end = packet.sequence + packet.payload_bytes;
    const auto repeated = row.data_end.has_value() &&
                          static_cast<std::int32_t>(end - *row.data_end) <= 0;
    if (repeated)
    {
        return;
    }
    note_gap(flow, row, packet);
    row.data_end = end;
    const auto more_follows =
        packet.payload_bytes >= state_.settings.full_payload_bytes;
    const auto phase =
        more_follows ? flow_phase::receiving : flow_phase::asking;
    if (row.phase == phase || row.phase == flow_phase::probing)
    {
        return;
    }
    state_.set_phase(now, row, phase);
    if (more_follows)
    {
        state_.conduct.forget(flow);
        opener_.start_queued_flows(now);
    }
    else if (!row.request_has_gap)
    {
        state_.conduct.on_request(now, flow, row.known_since);
    }
}

// A server cannot answer before the caller has retransmitted what was lost on
// the way, so a request with a gap says nothing about its server.
auto open_flow_router::note_gap(const flow_key& flow, owned_flow& row,
                                const flow_packet& packet) -> void
{
    const auto in_progress =
        row.phase == flow_phase::receiving || row.phase == flow_phase::asking;
    const auto expected =
        row.data_end.has_value() ? row.data_end : row.data_start;
    const auto gap = expected.has_value() &&
                     static_cast<std::int32_t>(packet.sequence - *expected) > 0;
    row.request_has_gap = gap || (in_progress && row.request_has_gap);
    if (gap)
    {
        state_.conduct.forget(flow);
    }
}

auto open_flow_router::probe_server(millis now, const flow_packet& packet)
    -> owned_flow&
{
    auto& row = state_.add_flow(now, packet, flow_phase::probing);
    state_.emit(state_.flow_event("server_probed", flow_from_caller(packet))
                    .with("kind", to_string(packet.label.kind)));
    state_.hooks.send_to_server(packet);
    return row;
}

// The server has not responded to a packet of the flow, so it may not hold the
// flow. Packets that it has already received remain valid, but no more are
// delivered to it speculatively.
auto open_flow_router::abandon_probe(millis now, const flow_packet& packet)
    -> void
{
    if (packet.label.kind == label_kind::locate)
    {
        ++state_.counters.dropped;
        return;
    }
    locator_.search(now, packet);
}

} // namespace briardrum
