#ifndef BRIARDRUM_PACKETS_AGENT_SERVER_HEARTBEAT_HPP
#define BRIARDRUM_PACKETS_AGENT_SERVER_HEARTBEAT_HPP

#include "core/core.hpp"

#include <absl/status/status.h>
#include <string>

namespace briardrum
{

// Heartbeat that a backend server sends at regular intervals.
struct server_heartbeat
{
    std::string server_id;
    std::string service_name;
    // Address for packets and health checks.
    endpoint address;
    std::string data_centre;
    std::string software_version;
    std::uint32_t slots = 1;
    // The server is about to leave: it keeps its flows and accepts no new ones.
    bool draining = false;
    // Remaining warm-up time, during which the server is slower.
    millis warm_up_left;
    // Increases with each heartbeat of an incarnation.
    std::uint64_t sequence = 0;
    // Start time of this incarnation, by the wall clock of the server.
    millis started_at;
};

// Returns true if both are of the same incarnation of a server: each start of a
// server has another id or start time.
auto is_same_incarnation(const server_heartbeat& a, const server_heartbeat& b)
    -> bool;

// Returns error_kind::malformed for a heartbeat that cannot be of the server
// beside this agent: it names another address than the server's, or a start
// time that is further ahead of the wall time than clocks differ.
auto check_heartbeat(const server_heartbeat& heartbeat, const endpoint& server,
                     millis wall_time) -> absl::Status;

} // namespace briardrum

#endif
