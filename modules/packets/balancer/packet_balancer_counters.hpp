#ifndef BRIARDRUM_PACKETS_BALANCER_PACKET_BALANCER_COUNTERS_HPP
#define BRIARDRUM_PACKETS_BALANCER_PACKET_BALANCER_COUNTERS_HPP

#include <cstdint>

namespace briardrum
{

// Counters of a packet_balancer, exported as metrics.
struct packet_balancer_counters
{
    std::uint64_t opened = 0;
    std::uint64_t by_hint = 0;
    std::uint64_t by_home = 0;
    std::uint64_t to_former_service = 0;
    std::uint64_t no_configuration = 0;
    std::uint64_t no_route = 0;
    std::uint64_t no_agent = 0;
    // Opening packets refused because all agents of the service drain.
    std::uint64_t evacuated = 0;
    std::uint64_t hints_learnt = 0;
};

} // namespace briardrum

#endif
