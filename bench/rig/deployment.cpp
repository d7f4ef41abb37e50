#include "bench/rig/deployment.hpp"

namespace briardrum::rig
{

namespace
{

// Long enough for gossip, joins and the first configuration.
constexpr millis start_up = seconds(6);

} // namespace

auto salinecarri() -> deployment
{
    return {"salinecarri",
            {{"manifest", 7, 5, urgency::urgent, 50},
             {"docs", 3, 5, urgency::normal, 30}},
            3};
}

auto association() -> deployment
{
    return {"association",
            {{"orders", 7, 3, urgency::urgent, 50},
             {"surveys", 3, 3, urgency::bulk, 30}},
            3};
}

auto build(rig& fleet, const deployment& sizes, const server_profile& profile)
    -> void
{
    for (const auto& it : sizes.services)
    {
        service_policy policy;
        policy.level = it.level;
        policy.share_percent = it.share_percent;
        fleet.add_service(it.name, policy);
    }
    for (std::size_t n = 1; n <= sizes.balancers; ++n)
    {
        fleet.add_balancer("b" + std::to_string(n));
    }
    for (const auto& it : sizes.services)
    {
        auto own = profile;
        own.slots = it.slots;
        for (std::size_t n = 1; n <= it.servers; ++n)
        {
            fleet.add_agent(it.name + "-" + std::to_string(n), it.name, own);
        }
    }
    fleet.run_for(start_up);
}

auto add_callers(rig& fleet, const std::string& service, std::size_t count,
                 const caller_profile& profile, millis spread) -> void
{
    for (std::size_t n = 0; n < count; ++n)
    {
        const auto part = static_cast<std::int64_t>(n) * spread.count /
                          static_cast<std::int64_t>(count);
        fleet.add_caller(service, profile, {part});
    }
}

} // namespace briardrum::rig
