#ifndef BRIARDRUM_PACKETS_AGENT_FLOW_OPENER_HPP
#define BRIARDRUM_PACKETS_AGENT_FLOW_OPENER_HPP

#include "packets/agent/ownership_notices.hpp"

#include <span>

namespace briardrum
{

// Decides where a new flow is opened: at the server beside this agent, in the
// queue for it, at another agent, or nowhere.
//
// An opening packet is offered to agents along the rendezvous order of its flow
// until one has a free slot. After the last offer it settles at the agent with
// the shortest expected wait, which starts, queues or refuses it.
class flow_opener
{
public:
    flow_opener(agent_state& state, ownership_notices& notices);

    // Call for each opening packet from a balancer or an agent.
    auto on_packet(millis now, const endpoint& from, const flow_packet& packet)
        -> void;

    // Call for each hedge: starts the flow if a slot is idle, and otherwise
    // drops the packet.
    auto on_hedge(millis now, const endpoint& from, const flow_packet& packet)
        -> void;

    // Call for each notice of an owner. If the flow was opened by a hedge, its
    // slot or its place in the queue here is given back.
    auto on_opened_elsewhere(millis now, const flow_packet& notice) -> void;

    // The server returned an opening packet because it is full.
    auto on_returned(millis now, const flow_packet& packet) -> void;

    // The server reset a flow that it had not accepted.
    auto on_opening_refused(millis now, const flow_key& flow, owned_flow& row)
        -> void;

    // Starts queued flows for which the server has slots. Call on each tick and
    // when a slot becomes free.
    auto start_queued_flows(millis now) -> void;

    // The server accepts no more flows: offers the queued ones to other agents.
    auto redistribute_queued_flows(millis now) -> void;

    // Call on each tick: drops flows that have waited for too long.
    auto drop_expired(millis now) -> void;

private:
    auto on_repeated_opening(millis now, const flow_key& flow, owned_flow& row)
        -> void;
    auto offer_anew_if_evacuated(packet_label& label) const -> void;
    auto offer(millis now, const flow_packet& packet) -> void;
    auto forward_offer(millis now, const flow_packet& packet) -> void;
    auto offer_order(const flow_key& flow) -> std::vector<member_id>;
    auto add_own_wait(millis now, const flow_packet& packet,
                      std::span<const member_id> order, packet_label& label)
        -> void;
    auto send_settle(millis now, const flow_packet& packet,
                     std::span<const member_id> order, packet_label label)
        -> void;
    auto settle(millis now, const flow_packet& packet) -> void;
    auto pass_on(millis now, const flow_packet& packet) -> void;
    auto enqueue(millis now, const flow_packet& packet) -> void;
    auto may_send_opening(millis now) -> bool;
    auto warm_up_wait(millis now) const -> millis;
    auto send_opening(millis now, const flow_packet& packet) -> void;
    auto start_flow(millis now, const flow_packet& packet) -> owned_flow&;
    auto drop_stale_hedge(millis now, const flow_key& flow) -> void;
    auto may_start_hedge(millis now) const -> bool;
    auto refuse(millis now, const flow_packet& opening, std::string_view reason)
        -> void;

    agent_state& state_;
    ownership_notices& notices_;
};

} // namespace briardrum

#endif
