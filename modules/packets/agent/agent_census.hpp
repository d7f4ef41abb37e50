#ifndef BRIARDRUM_PACKETS_AGENT_AGENT_CENSUS_HPP
#define BRIARDRUM_PACKETS_AGENT_AGENT_CENSUS_HPP

#include "membership/membership.hpp"
#include "membership/records/listed_agent.hpp"

#include <map>
#include <span>
#include <unordered_map>

namespace briardrum
{

// Tells whether this process knows every agent whose server may hold an open
// flow.
//
// Each query to the members has a number, and each reply carries the digest of
// the agents that its sender knows. The census is complete for a query once
// every live balancer, and every live agent with a server, has replied to it,
// or to a later one, with the digest of this process, and no agent has departed
// whose server may live on. The members that a process knows are not all that
// there are: after a restart of many processes, those that started again may
// know only each other. So the census is never complete before the agents that
// were registered in the store have been read, and each of them that is not
// known counts as departed.
class agent_census
{
public:
    // The known agents must not have changed for this long: news that is
    // spreading may have reached only the members that have replied.
    static constexpr millis settle_time = milliseconds(200);

    // For this long after its start, a process may know only some of the
    // members that started at the same time.
    static constexpr millis start_up_time = milliseconds(700);

    // flow_lifetime is the maximum lifetime of a flow: a departed agent is of
    // no concern after it.
    agent_census(const member_view& members, millis flow_lifetime,
                 millis started_at);

    // Returns false for an agent that reports no slots: it has no server, so no
    // flow is open there.
    static auto may_hold_flows(const member_record& record) -> bool;

    // Returns true if this member must reply: a balancer, or an agent that may
    // hold flows.
    static auto must_reply(const member_record& record) -> bool;

    // Follows changes of the members. Call on each tick.
    auto refresh(millis now) -> void;

    // Returns true if this process is likely to know all members: it has read
    // the registered agents, has run for some time, is in contact with others,
    // and its view does not change.
    auto is_settled(millis now) const -> bool;

    auto on_reply(member_id from, std::uint64_t query, std::uint64_t digest)
        -> void;

    // Call with all agents that were registered in the store after this process
    // started.
    auto on_registered(millis now, std::span<const listed_agent> agents)
        -> void;

    // Call for an agent that departed before this process knew it.
    auto on_departed(millis now, const member_record& record) -> void;

    // Returns true if this member has replied to this query or a later one, and
    // knows the same agents.
    auto agrees(member_id id, std::uint64_t query) const -> bool;

    // Number of live members that have not agreed to this query yet, and of
    // departed agents whose servers may live on.
    auto missing_replies(std::uint64_t query) const -> std::size_t;
    auto departed_count(millis now) const -> std::size_t;

    // Returns the last query for which the census is complete, or 0.
    auto complete_for(millis now) const -> std::uint64_t;

    // Discards all replies.
    auto clear() -> void;

private:
    struct reply
    {
        std::uint64_t query = 0;
        std::uint64_t digest = 0;
    };

    struct departed_agent
    {
        // The address of its VM, which has one agent.
        std::uint32_t address = 0;
        millis since;
    };

    auto forget_unknown(millis now) -> void;
    auto agreed_query(member_id id) const -> std::uint64_t;
    auto is_of_concern(millis now, const departed_agent& it) const -> bool;
    auto is_address_in_use(std::uint32_t address) const -> bool;

    const member_view& members_;
    millis flow_lifetime_;
    millis started_at_;
    std::unordered_map<member_id, reply> replies_;
    std::map<member_id, departed_agent> departed_;
    bool has_registered_agents_ = false;
    std::uint64_t epoch_ = 0;
    std::uint64_t digest_ = 0;
    millis changed_at_;
};

} // namespace briardrum

#endif
