#ifndef BRIARDRUM_PACKETS_AGENT_OWNER_LOCATOR_HPP
#define BRIARDRUM_PACKETS_AGENT_OWNER_LOCATOR_HPP

#include "packets/agent/agent_state.hpp"
#include "packets/agent/lost_flow_detector.hpp"
#include "packets/agent/owner_search.hpp"

#include <functional>
#include <span>

namespace briardrum
{

// Finds the agent that owns a flow which is not known here, by asking all
// agents of the service.
//
// Packets of the flow are held until an agent has answered, and are then passed
// to the release hook.
class owner_locator
{
public:
    using release_hook = std::function<void(millis now, const flow_packet&)>;

    owner_locator(agent_state& state, release_hook release);

    // Handles a packet of an unknown flow: asks for the owner, holds the packet
    // while a search is in progress, or drops it.
    auto search(millis now, const flow_packet& packet) -> void;

    auto has_recent_search(const flow_key& flow) const -> bool;

    // Call for the answers of other agents.
    auto on_owned(millis now, const endpoint& from, const flow_packet& notice)
        -> void;
    auto on_unowned(millis now, const endpoint& from, const flow_packet& notice)
        -> void;

    // Call when the server beside this agent has returned a packet of the flow,
    // which it therefore does not hold.
    auto on_denied_by_server(const flow_key& flow) -> void;

    // Call when a flow is opened anew.
    auto on_opened(const flow_key& flow) -> void;

    // Answers a query of another agent, and takes the replies of members.
    auto on_query(millis now, member_id from, const flow_query_message& query)
        -> void;
    auto on_reply(millis now, member_id from, const flow_reply_message& reply)
        -> void;

    // Call with the agents that were registered in the store after this process
    // started; without them no flow is considered lost.
    auto on_registered(millis now, std::span<const listed_agent> agents)
        -> void;

    // Call for an agent that departed before this process knew it.
    auto on_departed(millis now, const member_record& record) -> void;

    // Call on each tick.
    auto tick(millis now) -> void;

private:
    auto ask_agents(const flow_key& flow, const flow_packet& packet,
                    std::span<const member_id> agents) -> void;
    auto report_failed(millis now) -> void;
    auto on_found(millis now, const flow_packet& packet, member_id owner)
        -> void;
    auto on_lost(const lost_flow& flow) -> void;
    auto show_packet(millis now, const flow_packet& packet, member_id to)
        -> bool;
    auto on_undecided(const undecided_flow& it) -> void;
    auto send_query(const member_record& to, flow_query_message query) -> void;

    agent_state& state_;
    release_hook release_;
    held_packets<flow_packet> held_;
    owner_search searches_;
    lost_flow_detector lost_flows_;
};

} // namespace briardrum

#endif
