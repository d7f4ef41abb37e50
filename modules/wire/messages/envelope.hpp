#ifndef BRIARDRUM_WIRE_MESSAGES_ENVELOPE_HPP
#define BRIARDRUM_WIRE_MESSAGES_ENVELOPE_HPP

#include "core/core.hpp"

namespace briardrum
{

enum class envelope_kind : std::uint8_t
{
    // From a balancer or another agent, towards a backend server.
    request = 0,
    // From an agent to a balancer, towards a caller.
    answer = 1,
};

// Maximum number of hops of an envelope between agents.
constexpr std::uint8_t hop_limit = 4;

// A caller's unmodified datagram in transit between balancers and agents, with
// the data needed to deliver it to the right service and incarnation of a
// server. The datagram is a view that does not own its bytes.
struct envelope
{
    envelope_kind kind = envelope_kind::request;
    service_id service = 0;
    // Request: the destination agent and its incarnation as known to the
    // sender (0 if unknown). Answer: the balancer.
    member_id target = 0;
    incarnation_number target_incarnation = 0;
    endpoint caller;
    endpoint service_address;
    // The balancer that forwarded the request and returns the answers.
    member_id balancer = 0;
    // The agent that forwarded the request or answered it; 0 from a balancer.
    member_id from_agent = 0;
    std::uint8_t hops = 0;
    // Between agents: true if the sender, as the flow's home, placed a new
    // flow on the target; false if it only expects the target to know the
    // owner.
    bool placed = false;
    // Answer: saturation of the agent's server, 0 to 100 percent.
    std::uint8_t saturation = 0;
    configuration_version version = 0;
    byte_view datagram;
};

} // namespace briardrum

#endif
