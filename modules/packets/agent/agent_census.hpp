#ifndef BRIARDRUM_PACKETS_AGENT_AGENT_CENSUS_HPP
#define BRIARDRUM_PACKETS_AGENT_AGENT_CENSUS_HPP

#include "membership/membership.hpp"
#include "membership/records/listed_agent.hpp"
#include "wire/messages/control_message.hpp"

#include <map>
#include <memory>
#include <span>
#include <unordered_map>

namespace briardrum
{

// Tells whether this process knows every agent whose server may hold an open
// flow.
//
// Each query to the members has a number, and each reply tells which live
// members its sender knows. The census is complete for a query once every live
// balancer, and every live agent with a server, has replied to it, or to a
// later one, and knows no member that is not known to be live here. A balancer
// or an agent that has placed a flow at an agent knows that agent, so an agent
// that is not known here is named in the reply of whoever does know it.
//
// The members that a process knows are not all that there are: after a restart
// of many processes, those that started again may know only each other. So the
// census is never complete before the agents that were registered in the store
// have been read, and each of them that is not known counts as departed.
//
// An agent that has departed may have a server that lives on: unreachable_for()
// tells for how long at least no such agent has been reached.
class agent_census
{
public:
    // For this long after its start, a process waits for the members that
    // started at the same time.
    static constexpr millis start_up_time = milliseconds(250);

    // flow_lifetime is the maximum lifetime of a flow: a departed agent is of
    // no concern after it.
    agent_census(const member_view& members, millis flow_lifetime,
                 millis started_at);

    // Returns false for an agent that reports no slots: it has no server, so no
    // flow is open there.
    static auto may_hold_flows(const member_record& record) -> bool;

    // Follows changes of the members. Call on each tick.
    auto refresh(millis now) -> void;

    // Returns true if this process is in a position to judge: it has read the
    // registered agents, has run for some time, and is in contact with others.
    auto is_settled(millis now) const -> bool;

    auto on_reply(member_id from, const flow_reply_message& reply) -> void;

    // Call with all agents that were registered in the store after this process
    // started.
    auto on_registered(millis now, std::span<const listed_agent> agents)
        -> void;

    // Call for an agent that departed before this process knew it.
    auto on_departed(millis now, const member_record& record) -> void;

    // Returns true if this member has replied to this query or a later one, and
    // all members that it knows are known here.
    auto agrees(member_id id, std::uint64_t query) const -> bool;

    // Number of live members that have not agreed to this query yet, and of
    // departed agents whose servers may live on.
    auto missing_replies(std::uint64_t query) const -> std::size_t;
    auto departed_count(millis now) const -> std::size_t;

    // Returns the last query for which the census is complete, or 0.
    auto complete_for(millis now) const -> std::uint64_t;

    // Returns for how long each of the departed agents whose servers may live
    // on has been out of reach, at least. Zero while one of them has only been
    // stopped and will be back, and flow_lifetime if there is none.
    auto unreachable_for(millis now) const -> millis;

    // Discards all replies.
    auto clear() -> void;

private:
    // Short ids of members, sorted.
    using id_list = std::vector<std::uint32_t>;

    struct reply
    {
        std::uint64_t query = 0;
        std::shared_ptr<const id_list> members;
    };

    struct departed_agent
    {
        // The address of its VM, which has one agent; 0 for an agent that is
        // only known from the store, whose entry may be another writer's.
        std::uint32_t address = 0;
        millis since;
        // It was stopped while its server ran on: it starts again soon.
        bool stopped = false;
    };

    auto follow(millis now, const member_record& record) -> void;
    auto forget_unknown(millis now) -> void;
    auto agreed_query(member_id id) const -> std::uint64_t;
    auto is_of_concern(millis now, const departed_agent& it) const -> bool;
    auto is_address_in_use(std::uint32_t address) const -> bool;

    const member_view& members_;
    millis flow_lifetime_;
    millis started_at_;
    std::unordered_map<member_id, reply> replies_;
    std::map<member_id, departed_agent> departed_;
    std::map<member_id, millis> suspected_since_;
    bool has_registered_agents_ = false;
    std::uint64_t epoch_ = 0;
    // The live members that answer flow queries, this one included.
    std::shared_ptr<const id_list> known_ = std::make_shared<id_list>();
};

} // namespace briardrum

#endif
