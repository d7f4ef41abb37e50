#ifndef BRIARDRUM_PACKETS_AGENT_OWNER_SEARCH_HPP
#define BRIARDRUM_PACKETS_AGENT_OWNER_SEARCH_HPP

#include "core/core.hpp"

#include <optional>
#include <vector>

namespace briardrum
{

// Which flows an agent looks for at all others of its service, and how often.
//
// Ask admit() for each packet of an unknown flow; report answers with
// on_owner_found() and on_denied(), and take what ended in vain from
// take_failed() each tick.
//
// A search costs a message to every agent. After a loss of power callers
// retransmit packets of every flow that was open, and no agent holds any of
// them: a token bucket counted in messages keeps the searches from taking the
// processors that the opening packets need.
class owner_search
{
public:
    // Messages of searches an agent may send in a second: 600 received and
    // answered cost an agent about a tenth of its 0.15 of a core.
    static constexpr std::uint64_t messages_per_second = 600;

    // What to do with a packet of an unknown flow.
    enum class decision : std::uint8_t
    {
        // Ask all agents.
        search,
        // A search is under way: keep the packet for its end.
        hold,
        // An answer is known or was not to be had a moment ago.
        drop,
        // Too many searches already.
        defer,
    };

    // How many agents denied a flow, and since when they were asked.
    struct denial
    {
        std::size_t agents = 0;
        millis elapsed;
    };

    // agents is how many the search would ask.
    auto admit(millis now, const flow_key& flow, std::size_t agents)
        -> decision;

    // A search for the flow is under way or ended a moment ago.
    auto has_recent_search(const flow_key& flow) const -> bool;

    // An agent owns the flow; true when that ends a search.
    auto on_owner_found(const flow_key& flow) -> bool;

    // The agent at this address does not hold the flow; a value once all that
    // were asked have said so.
    auto on_denied(millis now, const flow_key& flow, std::uint32_t address)
        -> std::optional<denial>;

    // Flows whose searches ended now without an owner.
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
