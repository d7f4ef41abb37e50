#ifndef BRIARDRUM_PACKETS_AGENT_OWNED_FLOW_HPP
#define BRIARDRUM_PACKETS_AGENT_OWNED_FLOW_HPP

#include "packets/model/flow_packet.hpp"

#include <array>
#include <optional>

namespace briardrum
{

// What a flow is to the agent that owns it.
enum class flow_phase : std::uint8_t
{
    // Its opening packet waits for a free slot; the server knows nothing.
    waiting,
    // Its opening packet is at the server, its first request is to come.
    opening,
    // A request of several packets is on its way; the server cannot begin.
    receiving,
    // The server has a request and has not begun to answer.
    asking,
    // Open without a request under way.
    idle,
    // Unknown here: a packet was shown to the server to see whether it holds
    // the flow.
    probing,
};

constexpr std::size_t flow_phase_count =
    static_cast<std::size_t>(flow_phase::probing) + 1;

auto to_string(flow_phase phase) -> std::string_view;

// A flow at the agent beside its backend server.
struct owned_flow
{
    endpoint caller;
    endpoint route;
    flow_phase phase = flow_phase::idle;
    millis phase_since;
    millis known_since;
    millis last_used;
    // Up to where the caller has received, for a reset.
    std::uint32_t caller_acknowledged = 0;
    // The server's own first position, from its answer to the opening packet.
    std::optional<std::uint32_t> server_sequence;
    // The caller acknowledged that answer, or the server answered more than the
    // opening packet: the flow is open here and nowhere else.
    bool confirmed = false;
    bool caller_closed = false;
    bool server_closed = false;
    // The opening packet, until the flow is open.
    flow_packet opening;
    byte_buffer opening_bytes;
    // Agents that were told of the flow: the first of its order, to which
    // balancers send what they cannot place, and copies of opening packets.
    std::array<member_id, 3> notified{};
};

} // namespace briardrum

#endif
