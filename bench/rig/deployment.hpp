#ifndef BRIARDRUM_BENCH_RIG_DEPLOYMENT_HPP
#define BRIARDRUM_BENCH_RIG_DEPLOYMENT_HPP

#include "bench/rig/rig.hpp"

#include <string>
#include <vector>

namespace briardrum::rig
{

// One service of a deployment in its real size.
struct service_size
{
    std::string name;
    std::size_t servers = 0;
    std::uint32_t slots = 5;
    urgency level = urgency::normal;
    std::uint32_t share_percent = 40;
};

struct deployment
{
    std::string name;
    std::vector<service_size> services;
    std::size_t balancers = 3;
};

// The users' deployments of today.
auto salinecarri() -> deployment;
auto association() -> deployment;

// Adds the deployment's services, balancers b1.. and agents SERVICE-1.., and
// runs until all are ready.
auto build(rig& fleet, const deployment& sizes,
           const server_profile& profile = {}) -> void;

// Adds callers of a service whose first requests are spread over a time.
auto add_callers(rig& fleet, const std::string& service, std::size_t count,
                 const caller_profile& profile, millis spread) -> void;

} // namespace briardrum::rig

#endif
