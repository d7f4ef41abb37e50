#ifndef BRIARDRUM_PACKETS_AGENT_PACKET_AGENT_COUNTERS_HPP
#define BRIARDRUM_PACKETS_AGENT_PACKET_AGENT_COUNTERS_HPP

#include <cstdint>

namespace briardrum
{

// Counters of a packet_agent, exported as metrics.
struct packet_agent_counters
{
    std::uint64_t started = 0;
    std::uint64_t forwarded_offers = 0;
    std::uint64_t settled_elsewhere = 0;
    std::uint64_t queued = 0;
    std::uint64_t refused = 0;
    std::uint64_t expired = 0;
    std::uint64_t reset = 0;
    std::uint64_t unanswered = 0;
    std::uint64_t relayed = 0;
    std::uint64_t searches = 0;
    std::uint64_t searches_found = 0;
    std::uint64_t searches_failed = 0;
    std::uint64_t searches_deferred = 0;
    // Flows reset because no server holds them, and the queries that this took.
    std::uint64_t lost = 0;
    std::uint64_t undecided = 0;
    std::uint64_t flow_queries = 0;
    std::uint64_t returned = 0;
    std::uint64_t wrong_service = 0;
    std::uint64_t dropped = 0;
    // Opening packets sent to the server while it was or may have been cold,
    // and times that one was not sent for that reason.
    std::uint64_t warm_up_openings = 0;
    std::uint64_t openings_held_back = 0;
    // Flows started by a hedge, those that the caller opened here and those
    // that it opened elsewhere or not at all, and hedges refused because no
    // slot was idle or the flow was known.
    std::uint64_t hedges_started = 0;
    std::uint64_t hedges_won = 0;
    std::uint64_t hedges_lost = 0;
    std::uint64_t hedges_refused_by_load = 0;
    std::uint64_t hedges_of_known_flows = 0;
    // Times that the server was found faulty.
    std::uint64_t found_faulty = 0;
};

} // namespace briardrum

#endif
