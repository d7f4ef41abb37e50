#ifndef BRIARDRUM_IO_DAEMONS_PACKET_PROCESS_SETTINGS_HPP
#define BRIARDRUM_IO_DAEMONS_PACKET_PROCESS_SETTINGS_HPP

#include "core/core.hpp"
#include "wire/messages/member_record.hpp"

#include <absl/status/statusor.h>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace briardrum
{

// What the daemons for packet flows are told at start.
struct packet_process_settings
{
    // Unique in the fleet; the member id is made from it.
    std::string name;
    member_kind kind = member_kind::agent;
    std::string data_centre;
    // Own addresses: packets (UDP), readiness and metrics (HTTP), membership
    // (UDP).
    endpoint packets;
    endpoint readiness;
    endpoint members;
    // Metrics besides the readiness address; none when empty.
    endpoint metrics;
    // Packets for callers go to their address at this port.
    std::uint16_t caller_port = 0;
    // Membership addresses of a few members; some may be stale.
    std::vector<endpoint> start_addresses;
    endpoint store;
    // Time after its acknowledgement by the store in which a configuration must
    // be in force.
    millis configuration_deadline = seconds(3);
    // Time after its acknowledgement by the store from which a data centre that
    // is evacuated gets no new flows; data centres are not evacuated without
    // it.
    std::optional<millis> evacuation_deadline;
    // The placement policy limits the new flows of cold servers.
    bool limits_cold_servers = false;
    event_level log_level = event_level::info;
    millis stop_bound = seconds(5);

    // Agents only. Where the server beside it takes packets, where it sends
    // its own, where it sends heartbeats, and what it is.
    endpoint server;
    endpoint from_server;
    endpoint heartbeats;
    std::string service_name;
    millis heartbeat_interval = seconds(1);
    millis flow_lifetime = seconds(60);
    // Slow start of the server; see packet_agent_settings.
    std::optional<double> warm_up_overshoot;
    std::optional<double> warm_up_slack;
    // The server may fail requests while its health check passes.
    bool judge_server = false;

    auto operator==(const packet_process_settings&) const -> bool = default;
};

// Returns the time in which a change in the store has to be delivered to this
// process even if the connection of its watch has gone silent.
auto store_delivery_deadline(const packet_process_settings& settings) -> millis;

// Returns true if the members exchange a placement policy: data centres may be
// evacuated, or cold servers are limited.
auto has_placement_policy(const packet_process_settings& settings) -> bool;

// Reads the settings anew.
using load_packet_settings =
    std::function<absl::StatusOr<packet_process_settings>()>;

} // namespace briardrum

#endif
