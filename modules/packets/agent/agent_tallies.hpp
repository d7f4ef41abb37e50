#ifndef BRIARDRUM_PACKETS_AGENT_AGENT_TALLIES_HPP
#define BRIARDRUM_PACKETS_AGENT_AGENT_TALLIES_HPP

#include <cstdint>

namespace briardrum
{

// What a packet_agent did, for metrics.
struct agent_tallies
{
    std::uint64_t started = 0;
    std::uint64_t offered_on = 0;
    std::uint64_t settled_elsewhere = 0;
    std::uint64_t queued = 0;
    std::uint64_t refused = 0;
    std::uint64_t expired = 0;
    std::uint64_t reset = 0;
    std::uint64_t unanswered = 0;
    std::uint64_t relayed = 0;
    std::uint64_t searched = 0;
    std::uint64_t found = 0;
    std::uint64_t search_failed = 0;
    std::uint64_t search_deferred = 0;
    std::uint64_t returned = 0;
    std::uint64_t wrong_service = 0;
    std::uint64_t dropped = 0;
};

} // namespace briardrum

#endif
