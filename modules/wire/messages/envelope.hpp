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

// Most hops an envelope may take between agents.
constexpr std::uint8_t hop_limit = 4;

// One caller's datagram on its way between our processes, untouched, with
// what is needed to deliver it to the right service and life of a server.
// The datagram is a view: copy it to keep it.
struct envelope
{
    envelope_kind kind = envelope_kind::request;
    service_id service = 0;
    // Request: the agent meant, and its life as the sender knows it (0 when
    // not known). Answer: the balancer.
    member_id target = 0;
    incarnation_number target_incarnation = 0;
    endpoint caller;
    endpoint service_address;
    // The balancer that forwarded the request, and answers go back through.
    member_id balancer = 0;
    // The agent that passed the request on or answered; 0 from a balancer.
    member_id from_agent = 0;
    std::uint8_t hops = 0;
    // Between agents: true when the sender, as the flow's home, placed a new
    // flow at the target; false when it only believes the target knows better.
    bool placed = false;
    // Answer: how full the agent's server is, 0 to 100 percent.
    std::uint8_t saturation = 0;
    configuration_version version = 0;
    byte_view datagram;
};

} // namespace briardrum

#endif
