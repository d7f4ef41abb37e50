#ifndef BRIARDRUM_PACKETS_AGENT_AGENT_STATE_HPP
#define BRIARDRUM_PACKETS_AGENT_AGENT_STATE_HPP

#include "membership/membership.hpp"
#include "packets/agent/conduct_bound.hpp"
#include "packets/agent/flow_admission.hpp"
#include "packets/agent/local_server.hpp"
#include "packets/agent/owned_flow.hpp"
#include "packets/agent/packet_agent_counters.hpp"
#include "packets/agent/packet_agent_settings.hpp"
#include "packets/agent/server_conduct.hpp"
#include "packets/agent/warm_up_limit.hpp"
#include "packets/model/packet_hooks.hpp"
#include "routing/routing.hpp"

namespace briardrum
{

// What the parts of a packet_agent share: the settings, the server beside the
// agent, the members, and the tables of flows. A part changes flows only
// through add_flow(), set_phase() and remove_flow(), which keep the slots of
// the admission in step.
struct agent_state
{
    agent_state(member_view& all_members, packet_agent_settings start_settings,
                packet_hooks start_hooks, millis start);
    agent_state(const agent_state&) = delete;
    auto operator=(const agent_state&) -> agent_state& = delete;

    // Flows.
    auto add_flow(millis now, const flow_packet& packet, flow_phase phase)
        -> owned_flow&;
    auto set_phase(millis now, owned_flow& row, flow_phase phase) -> void;
    auto remove_flow(millis now, const flow_key& flow) -> void;
    auto opening_of(millis now, const owned_flow& row) const -> flow_packet;
    // Remembers the agent that the opening packet of a flow was sent on to: the
    // owner, or another agent that remembers the next one.
    auto remember_offer(millis now, const flow_packet& opening, member_id to)
        -> void;
    auto accepts_new_flows(millis now) const -> bool;
    // The placement policy: whether it excludes this agent's data centre, and
    // whether it is needed and not known yet.
    auto is_evacuated() const -> bool;
    auto awaits_policy() const -> bool;
    // Returns true if the placement policy keeps this agent from starting
    // flows.
    auto is_held_by_policy() const -> bool;
    // Returns true if every live agent of the service drains while a data
    // centre is evacuated. Agents that are joining or suspect may take flows
    // shortly.
    auto is_service_evacuated() const -> bool;
    auto may_have_unknown_flows(millis now) const -> bool;

    // Members.
    auto order_of(const flow_key& flow) -> std::vector<member_id>;
    auto find_by_address(std::uint32_t address) const -> const member_record*;
    auto send_to(member_id to, const flow_packet& packet,
                 const packet_label& label) -> bool;
    // Forwards a packet to the owner of its flow, and sends a hint about the
    // owner to the balancer that it came from. Returns false if the packet
    // was not forwarded.
    auto relay(const endpoint& from, const flow_packet& packet,
               const redirect_table::row& to) -> bool;

    auto flow_event(std::string_view name, const flow_key& flow) const -> event;
    auto emit(event&& value) const -> void;

    member_view& members;
    packet_agent_settings settings;
    packet_hooks hooks;
    millis started_at;
    local_server server;
    flow_admission admission;
    warm_up_limit warm_up;
    server_conduct conduct;
    conduct_bound intake;
    service_tag tag;
    service_candidates candidates;
    table<flow_key, owned_flow> flows;
    redirect_table redirects;
    // Where opening packets were sent on to, until their owners are known.
    redirect_table offers;
    packet_agent_counters counters;
    // Empty until it is known.
    std::optional<placement_policy> policy;
    bool draining = false;
};

// Returns a duration as a count for an event; 0 if it is negative.
auto as_count(millis span) -> std::uint64_t;

} // namespace briardrum

#endif
