#ifndef BRIARDRUM_PACKETS_AGENT_PACKET_AGENT_HPP
#define BRIARDRUM_PACKETS_AGENT_PACKET_AGENT_HPP

#include "membership/membership.hpp"
#include "packets/agent/flow_admission.hpp"
#include "packets/agent/local_server.hpp"
#include "packets/agent/owned_flow.hpp"
#include "packets/agent/owner_search.hpp"
#include "packets/agent/packet_agent_counters.hpp"
#include "packets/model/packet_hooks.hpp"
#include "routing/routing.hpp"

namespace briardrum
{

// What a packet_agent is told at start.
struct packet_agent_settings
{
    std::string service_name;
    millis heartbeat_interval = seconds(1);
    admission_settings admission;
    // Payload of a packet that more of the same request follows.
    std::uint16_t full_payload_bytes = 1200;
    // How long a flow may live, and so how long after its own start an agent
    // must reckon with flows that it never saw.
    millis flow_lifetime = seconds(60);
    // Agents that an opening packet may be offered to before it must wait. At
    // 75 percent load the chance that eight in a row are full is under 5
    // percent with two slots each.
    std::uint8_t offers_max = 8;
};

// The decisions of the agent beside one backend server for flows of opaque
// packets.
//
// An opening packet goes along the flow's rendezvous order until an agent has
// a free slot (consistent hashing with bounded loads); that one owns the flow
// and tells the first three of the order, to which balancers send what they
// cannot place. A packet of a flow that nobody here knows is shown
// to all agents of the service, the others wait until the owner has answered.
//
// on_packet() for packets of balancers and agents, on_server_packet() for what
// the server sends, on_heartbeat() and on_leave() for what it says of itself,
// tick() every 10 ms.
class packet_agent
{
public:
    packet_agent(member_view& members, packet_agent_settings settings,
                 packet_hooks hooks, millis started_at);
    packet_agent(const packet_agent&) = delete;
    auto operator=(const packet_agent&) -> packet_agent& = delete;

    // from is the sender's data address.
    auto on_packet(millis now, const endpoint& from, const flow_packet& packet)
        -> void;

    auto on_server_packet(millis now, const flow_packet& packet) -> void;

    auto on_heartbeat(millis now, const server_heartbeat& heartbeat)
        -> heartbeat_outcome;
    auto on_leave(millis now, const std::string& server_id) -> bool;

    auto tick(millis now) -> void;

    // Takes no new flow from now on.
    auto drain(millis now) -> void;

    // True when no flow is open.
    auto is_idle() const -> bool;

    auto server() const -> const local_server&;
    auto admission() const -> const flow_admission&;
    auto flow_count() const -> std::size_t;
    auto counters() const -> const packet_agent_counters&;

private:
    // Opening packets.
    auto on_opening(millis now, const endpoint& from, const flow_packet& packet)
        -> void;
    auto on_repeated_opening(millis now, const flow_key& flow, owned_flow& row)
        -> void;
    auto offer(millis now, const flow_packet& packet) -> void;
    auto forward_offer(millis now, const flow_packet& packet) -> void;
    auto settle(millis now, const flow_packet& packet) -> void;
    auto enqueue(millis now, const flow_packet& packet) -> void;
    auto start_flow(millis now, const flow_packet& packet) -> void;
    auto start_queued_flows(millis now) -> void;
    auto refuse(millis now, const flow_packet& opening, std::string_view reason)
        -> void;
    auto drop_expired(millis now) -> void;
    auto redistribute_queued_flows(millis now) -> void;

    // Packets of open flows.
    auto on_open_flow(millis now, const endpoint& from,
                      const flow_packet& packet) -> void;
    auto deliver(millis now, const flow_key& flow, owned_flow& row,
                 const flow_packet& packet) -> void;
    auto note_request(millis now, owned_flow& row, const flow_packet& packet)
        -> void;
    auto relay(const endpoint& from, const flow_packet& packet,
               const redirect_table::row& to) -> bool;
    auto is_open_at_another_server(const owned_flow& row,
                                   const flow_packet& packet) const -> bool;
    auto probe_server(millis now, const flow_packet& packet) -> void;
    auto abandon_probe(millis now, const flow_packet& packet) -> void;
    auto search_for_owner(millis now, const flow_packet& packet) -> void;
    auto on_owned(millis now, const endpoint& from, const flow_packet& notice)
        -> void;
    auto on_unowned(millis now, const endpoint& from, const flow_packet& notice)
        -> void;
    auto report_failed_searches(millis now) -> void;

    // The server's packets.
    auto on_opening_refused(millis now, const flow_key& flow, owned_flow& row)
        -> void;
    auto withhold_reset(millis now, const flow_key& flow, const owned_flow* row)
        -> void;
    auto on_returned(millis now, const flow_packet& packet) -> void;
    auto on_answer(millis now, const flow_key& flow, owned_flow& row,
                   const flow_packet& packet) -> void;
    auto adopt_from_server(millis now, const flow_key& flow,
                           const flow_packet& packet) -> owned_flow&;

    // Flows and their tables.
    auto opening_of(millis now, const owned_flow& row) const -> flow_packet;
    auto set_phase(millis now, owned_flow& row, flow_phase phase) -> void;
    auto add_flow(millis now, const flow_packet& packet, flow_phase phase)
        -> owned_flow&;
    auto remove_flow(millis now, const flow_key& flow) -> void;
    auto answer_locate(const endpoint& from, const flow_packet& packet,
                       label_kind kind) -> void;
    auto announce_ownership(const flow_key& flow, owned_flow& row) -> void;
    auto reannounce_ownership() -> void;
    auto drop_server_flows(millis now) -> void;
    auto expire_flows(millis now) -> void;
    auto may_have_unknown_flows(millis now) const -> bool;

    // Members.
    auto order_of(const flow_key& flow) -> std::vector<member_id>;
    auto send_to(member_id to, const flow_packet& packet,
                 const packet_label& label) -> bool;
    auto find_by_address(std::uint32_t address) const -> const member_record*;
    auto update_own_record(millis now) -> void;
    auto flow_event(std::string_view name, const flow_key& flow) -> event;
    auto emit(event&& value) -> void;

    member_view& members_;
    packet_agent_settings settings_;
    packet_hooks hooks_;
    millis started_at_;
    local_server server_;
    flow_admission admission_;
    service_tag tag_;
    service_candidates candidates_;
    table<flow_key, owned_flow> flows_;
    redirect_table redirects_;
    held_packets<flow_packet> held_;
    owner_search searches_;
    packet_agent_counters counters_;
    bool draining_ = false;
    std::uint64_t announced_epoch_ = 0;
    millis next_expiry_;
    millis next_table_expiry_;
};

} // namespace briardrum

#endif
