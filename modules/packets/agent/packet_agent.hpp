#ifndef BRIARDRUM_PACKETS_AGENT_PACKET_AGENT_HPP
#define BRIARDRUM_PACKETS_AGENT_PACKET_AGENT_HPP

#include "packets/agent/flow_expiry.hpp"
#include "packets/agent/intake_control.hpp"
#include "packets/agent/open_flow_router.hpp"
#include "packets/agent/server_packet_handler.hpp"
#include "packets/agent/warm_up_log.hpp"

namespace briardrum
{

// Handles flows of opaque packets for one backend server.
//
// An opening packet is offered to agents along the rendezvous order of its flow
// until one has a free slot (consistent hashing with bounded loads). That agent
// owns the flow and notifies the first three agents of the order, to which
// balancers send packets without a hint. A packet of an unknown flow is sent to
// all agents of the service, and later packets of the flow are held until the
// owner has answered.
//
// The parts decide: flow_opener where a new flow is opened, open_flow_router
// where packets of open flows go, owner_locator whose flow an unknown one is or
// whether it is lost, server_packet_handler what an answer of the server means.
//
// Call on_packet() for packets from balancers and agents, on_server_packet()
// for packets from the server, on_heartbeat() and on_leave() for announcements
// of the server, and tick() every 10 ms.
class packet_agent
{
public:
    packet_agent(member_view& members, packet_agent_settings settings,
                 packet_hooks hooks, millis started_at);
    packet_agent(const packet_agent&) = delete;
    auto operator=(const packet_agent&) -> packet_agent& = delete;

    // from is the data address of the sender.
    auto on_packet(millis now, const endpoint& from, const flow_packet& packet)
        -> void;

    auto on_server_packet(millis now, const flow_packet& packet) -> void;

    // Queries of other agents about flows, and replies of members; ignores any
    // other message.
    auto on_control(millis now, const control_message& message) -> void;

    // Call once the agents that are registered in the store have been read.
    auto on_registered_agents(millis now, std::span<const listed_agent> agents)
        -> void;

    // Call for an agent that departed before this process knew it.
    auto on_member_departed(millis now, const member_record& record) -> void;

    auto on_heartbeat(millis now, const server_heartbeat& heartbeat)
        -> heartbeat_outcome;
    auto on_leave(millis now, const std::string& server_id) -> leave_outcome;

    // Call with the placement policy on each change. Without needs_policy in
    // the settings it need not be called.
    auto on_policy(millis now, const placement_policy& policy) -> void;

    // Call when a check that began at this time has found no server process on
    // this VM.
    auto on_server_not_found(millis now, millis checked_at) -> void;

    // Call when the rate of the service for cold servers is known, and when it
    // changes; none or 0: not limited. Has no effect without
    // packet_agent_settings::warm_up_overshoot.
    auto set_warm_up_rate(millis now, std::optional<double> requests_per_second)
        -> void;

    auto tick(millis now) -> void;

    // Stops accepting new flows.
    auto drain(millis now) -> void;

    // Returns true if every flow has been closed by both ends.
    auto is_drained() const -> bool;

    // The placement policy: whether it excludes this agent's data centre, and
    // whether it is needed and not known yet.
    auto is_evacuated() const -> bool;
    auto awaits_policy() const -> bool;

    auto server() const -> const local_server&;
    auto admission() const -> const flow_admission&;
    auto flow_count() const -> std::size_t;
    auto conduct() const -> const server_conduct&;
    auto intake() const -> const conduct_bound&;
    auto counters() const -> const packet_agent_counters&;

private:
    auto own_state() const -> member_state;
    auto update_own_record(millis now) -> void;
    auto update_warm_up_rate(millis now) -> void;
    auto look_for_server(millis now) -> void;
    auto is_of_known_flow(const flow_packet& packet) const -> bool;
    auto heartbeat_event(millis now, const server_heartbeat& heartbeat) const
        -> event;

    agent_state state_;
    ownership_notices notices_;
    flow_opener opener_;
    owner_locator locator_;
    open_flow_router router_;
    server_packet_handler server_packets_;
    flow_expiry expiry_;
    warm_up_log warm_up_log_;
    intake_control intake_;
    millis next_look_;
};

} // namespace briardrum

#endif
