#ifndef BRIARDRUM_PACKETS_MODEL_ROUTE_TABLE_HPP
#define BRIARDRUM_PACKETS_MODEL_ROUTE_TABLE_HPP

#include "core/core.hpp"
#include "packets/model/packet_label.hpp"
#include "wire/messages/placement_policy.hpp"

#include <map>
#include <string>
#include <vector>

namespace briardrum
{

// A service that receives a weighted share of the new flows of a route.
struct route_target
{
    std::string service_name;
    std::uint32_t weight = 1;

    auto operator==(const route_target&) const -> bool = default;
};

// The services that serve flows to one address and port.
struct route
{
    std::vector<route_target> targets;
    // 0 is highest.
    std::uint8_t urgency = 0;
    // Time for which callers wait for an answer; zero if it is not known.
    millis deadline = {};
    // Set if the route's requests may be repeated, so that an opening packet
    // may be sent to a second server.
    bool may_repeat = false;

    auto operator==(const route&) const -> bool = default;

    // Returns the service of a flow, which is the same on every balancer. The
    // route must have at least one target; if all weights are 0, the first
    // target serves every flow.
    auto service_of(const flow_key& flow) const -> const std::string&;
};

// All routes of one configuration version.
struct route_table
{
    configuration_version version = 0;
    std::map<endpoint, route> routes;
    // Maximum time for which a flow may be silent.
    millis idle_timeout = seconds(60);
    // Services whose cold servers are limited, sorted by service.
    std::vector<service_warm_up> warm_up;

    auto find(const endpoint& address) const -> const route*;
};

} // namespace briardrum

#endif
