#include "packets/agent/server_heartbeat.hpp"

namespace briardrum
{

namespace
{

// Wall clocks of VMs differ, and may jump by seconds.
constexpr millis start_ahead_max = minutes(10);

} // namespace

auto is_same_incarnation(const server_heartbeat& a, const server_heartbeat& b)
    -> bool
{
    return a.server_id == b.server_id && a.started_at == b.started_at;
}

auto check_heartbeat(const server_heartbeat& heartbeat, const endpoint& server,
                     millis wall_time) -> absl::Status
{
    if (heartbeat.address != server)
    {
        return make_error(error_kind::malformed,
                          "address is " + to_string(heartbeat.address) +
                              " and not that of the server beside this "
                              "agent, " +
                              to_string(server));
    }
    if (heartbeat.started_at > wall_time + start_ahead_max)
    {
        return make_error(error_kind::malformed,
                          "the start time, " +
                              std::to_string(heartbeat.started_at.count) +
                              ", is later than the present time, " +
                              std::to_string(wall_time.count));
    }
    return absl::OkStatus();
}

} // namespace briardrum
