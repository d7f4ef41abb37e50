#ifndef BRIARDRUM_PACKETS_AGENT_OWNED_FLOW_HPP
#define BRIARDRUM_PACKETS_AGENT_OWNED_FLOW_HPP

#include "packets/model/flow_packet.hpp"

#include <array>
#include <optional>

namespace briardrum
{

// State of a flow at the agent that owns it.
enum class flow_phase : std::uint8_t
{
    // The opening packet is queued for a free slot; the server has not seen the
    // flow.
    waiting,
    // The opening packet was sent to the server; the first request has not
    // arrived.
    opening,
    // A multi-packet request is arriving; the server cannot start on it yet.
    receiving,
    // The server has a complete request and has not started to answer.
    asking,
    // The flow is open, without a request in progress.
    idle,
    // The agent does not know the flow, and has sent a packet to the server to
    // find out whether the server holds it.
    probing,
};

constexpr std::size_t flow_phase_count =
    static_cast<std::size_t>(flow_phase::probing) + 1;

auto to_string(flow_phase phase) -> std::string_view;

// A flow owned by the agent beside its backend server.
struct owned_flow
{
    endpoint caller;
    endpoint route;
    flow_phase phase = flow_phase::idle;
    millis phase_since;
    millis known_since;
    millis last_used;
    // Time of the last packet from the caller.
    millis caller_heard_at;
    // Time of the last packet from the server after the handshake.
    std::optional<millis> answered_at;
    // Last acknowledgement number of the caller, needed to send a reset.
    std::uint32_t caller_acknowledged = 0;
    // End of the caller's data so far, as a sequence number; empty if none has
    // been seen.
    std::optional<std::uint32_t> data_end;
    // Sequence number of the caller's first data, from the server's answer to
    // the opening packet.
    std::optional<std::uint32_t> data_start;
    // A packet of the request in progress has not arrived, so that the server
    // may be waiting for it.
    bool request_has_gap = false;
    // Initial sequence number of the server, from its answer to the opening
    // packet.
    std::optional<std::uint32_t> server_sequence;
    // Set once the caller has acknowledged that answer, or the server has sent
    // more than it: the flow is open at this server and at no other.
    bool confirmed = false;
    bool caller_closed = false;
    bool server_closed = false;
    // The opening packet, kept until the flow is open.
    flow_packet opening;
    byte_buffer opening_bytes;
    // The agent whose search made this one probe its server; none otherwise.
    endpoint asked_by;
    // Agents that were notified of the owner: the first of the rendezvous
    // order, to which balancers send packets without a hint and retransmitted
    // opening packets.
    std::array<member_id, 3> notified{};
    // The balancer that sent the opening packet as a hedge; none otherwise.
    endpoint hedged_by;
};

// Returns true if the flow was started by a hedge and the caller has not
// acknowledged this server: it may be open at another one.
auto is_undecided_hedge(const owned_flow& row) -> bool;

} // namespace briardrum

#endif
