#ifndef BRIARDRUM_PACKETS_AGENT_OWNER_SEARCH_HPP
#define BRIARDRUM_PACKETS_AGENT_OWNER_SEARCH_HPP

#include "core/core.hpp"

#include <optional>
#include <vector>

namespace briardrum
{

// Rate-limits the searches for the owners of unknown flows among all agents of
// a service.
//
// Call admit() for each packet of an unknown flow, report answers with
// on_owner_found() and on_denied(), and collect unsuccessful searches with
// take_failed() on each tick.
//
// A search costs one message to every agent. After a power loss, callers
// retransmit packets of every flow that was open, and no agent holds any of
// them. A token bucket counted in messages keeps these searches from using the
// CPU time that opening packets need.
class owner_search
{
public:
    // Search messages that an agent may send per second. Receiving and
    // answering 600 costs an agent about a tenth of its 0.15 of a core.
    static constexpr std::uint64_t messages_per_second = 600;

    // What to do with a packet of an unknown flow.
    enum class decision : std::uint8_t
    {
        // Ask all agents.
        search,
        // A search is in progress: hold the packet until it ends.
        hold,
        // Drop the packet: the owner is already known, or a search has failed
        // recently.
        drop,
        // Drop the packet: the rate limit for searches is reached.
        defer,
    };

    // Number of agents that denied a flow, and the time since they were asked.
    struct denial
    {
        std::size_t agents = 0;
        millis elapsed;
    };

    // agents is the number of agents that the search would ask.
    auto admit(millis now, const flow_key& flow, std::size_t agents)
        -> decision;

    // Takes the token for a single message outside a search. Returns false if
    // there is none.
    auto try_send(millis now) -> bool;

    // Returns true if a search for the flow is in progress or has ended
    // recently.
    auto has_recent_search(const flow_key& flow) const -> bool;

    // Call when an agent reports that it owns the flow. Returns true if this
    // ends a search.
    auto on_owner_found(const flow_key& flow) -> bool;

    // Call when the agent at this address does not hold the flow. Returns a
    // value once every agent that was asked has denied it.
    auto on_denied(millis now, const flow_key& flow, std::uint32_t address)
        -> std::optional<denial>;

    // Returns the flows whose search has timed out without an owner.
    auto take_failed(millis now) -> std::vector<flow_key>;

private:
    enum class stage : std::uint8_t
    {
        pending,
        found,
        failed,
    };

    struct row
    {
        millis since;
        stage state = stage::pending;
        std::size_t agents_asked = 0;
        std::vector<std::uint32_t> denied_by;
    };

    auto refill(millis now) -> void;

    table<flow_key, row> rows_;
    std::uint64_t tokens_ = 2 * messages_per_second;
    millis refilled_at_;
};

} // namespace briardrum

#endif
