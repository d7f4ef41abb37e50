#ifndef BRIARDRUM_CONFIG_MODEL_PRESET_HPP
#define BRIARDRUM_CONFIG_MODEL_PRESET_HPP

#include "core/core.hpp"

#include <map>
#include <string>

namespace briardrum
{

// Priority of a service for capacity that is not guaranteed to any service or
// not used by the one it is guaranteed to. Lower values are served first.
enum class urgency : std::uint8_t
{
    urgent = 0,
    normal = 1,
    bulk = 2,
};

constexpr std::size_t urgency_count = 3;

// Capacity guarantee, limits and service-level objective of one service in a
// preset.
struct service_policy
{
    // Guaranteed share of a balancer's forwarding capacity in percent, 1 to
    // 100. The shares of a preset add up to at most 100.
    std::uint32_t share_percent = 10;
    urgency level = urgency::normal;
    // Maximum number of requests queued at one agent, 1 to 100,000.
    std::uint32_t queue_limit = 200;
    // Applies to requests that carry no deadline.
    millis default_deadline = seconds(10);
    // Service-level objective: requests answered in time, per million.
    std::uint32_t objective_ppm = 999000;
    // Answers that take longer than this miss the objective.
    millis objective_latency = milliseconds(500);
    // Retry budget as a percentage of recent requests.
    std::uint32_t retry_percent = 10;

    auto operator==(const service_policy&) const -> bool = default;
};

// A named set of policies, at most one per service, for a mode of operation
// such as ordinary load, peak load or maintenance. Services without a policy in
// the preset get the default policy.
struct preset
{
    std::string name;
    std::map<std::string, service_policy> policies;

    auto operator==(const preset&) const -> bool = default;
};

} // namespace briardrum

#endif
