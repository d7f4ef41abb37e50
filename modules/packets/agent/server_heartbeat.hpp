#ifndef BRIARDRUM_PACKETS_AGENT_SERVER_HEARTBEAT_HPP
#define BRIARDRUM_PACKETS_AGENT_SERVER_HEARTBEAT_HPP

#include "core/core.hpp"

#include <string>

namespace briardrum
{

// What a backend server says of itself at intervals.
struct server_heartbeat
{
    std::string server_id;
    std::string service_name;
    // Where it takes packets and health checks.
    endpoint address;
    std::string data_centre;
    std::string software_version;
    std::uint32_t slots = 1;
    // It is about to leave: it keeps its flows and wants no new ones.
    bool draining = false;
    // How much longer it stays slow after its start.
    millis warm_up_left;
    // Raised with each heartbeat of one incarnation.
    std::uint64_t sequence = 0;
    // When this incarnation started, by its own wall clock.
    millis started_at;
};

} // namespace briardrum

#endif
