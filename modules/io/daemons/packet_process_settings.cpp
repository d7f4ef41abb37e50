#include "io/daemons/packet_process_settings.hpp"

#include <algorithm>

namespace briardrum
{

namespace
{

// Time in which a placement policy reaches every member from one of them, at
// 300 members and 10 percent loss.
constexpr millis policy_spread_time = seconds(2);

} // namespace

auto has_placement_policy(const packet_process_settings& settings) -> bool
{
    return settings.evacuation_deadline.has_value() ||
           settings.limits_cold_servers;
}

auto store_delivery_deadline(const packet_process_settings& settings) -> millis
{
    if (!settings.evacuation_deadline.has_value())
    {
        return settings.configuration_deadline;
    }
    return std::min(settings.configuration_deadline,
                    *settings.evacuation_deadline - policy_spread_time);
}

} // namespace briardrum
