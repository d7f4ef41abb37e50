#ifndef BRIARDRUM_CONFIG_MODEL_PRESET_HPP
#define BRIARDRUM_CONFIG_MODEL_PRESET_HPP

#include "core/core.hpp"

#include <map>
#include <string>

namespace briardrum
{

// How urgent the work of a service is; lower values go first when capacity
// that nobody is guaranteed is lent out.
enum class urgency : std::uint8_t
{
    urgent = 0,
    normal = 1,
    bulk = 2,
};

constexpr std::size_t urgency_count = 3;

// How a preset treats one service.
struct service_policy
{
    // Percent of a balancer's forwarding that the service is guaranteed,
    // 1 to 100; the shares of a preset add up to at most 100.
    std::uint32_t share_percent = 10;
    urgency level = urgency::normal;
    // Requests waiting at one agent, 1 to 100,000.
    std::uint32_t queue_limit = 200;
    // Deadline of a request that names none.
    millis default_deadline = seconds(10);
    // Requests answered in time, per million: the service-level objective.
    std::uint32_t objective_ppm = 999000;
    // An answer later than this counts as bad.
    millis objective_latency = milliseconds(500);
    // Retries allowed, as percent of recent requests.
    std::uint32_t retry_percent = 10;

    auto operator==(const service_policy&) const -> bool = default;
};

// A named way of running the fleet: an ordinary day, a peak, maintenance.
// A service that a preset does not name gets the default policy.
struct preset
{
    std::string name;
    std::map<std::string, service_policy> policies;

    auto operator==(const preset&) const -> bool = default;
};

} // namespace briardrum

#endif
