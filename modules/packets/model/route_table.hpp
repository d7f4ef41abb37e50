#ifndef BRIARDRUM_PACKETS_MODEL_ROUTE_TABLE_HPP
#define BRIARDRUM_PACKETS_MODEL_ROUTE_TABLE_HPP

#include "core/core.hpp"
#include "packets/model/packet_label.hpp"

#include <map>
#include <string>
#include <vector>

namespace briardrum
{

// A service that takes a share of a route's new flows.
struct route_target
{
    std::string service_name;
    std::uint32_t weight = 1;

    auto operator==(const route_target&) const -> bool = default;
};

// Where flows to one address and port go.
struct route
{
    std::vector<route_target> targets;
    // 0 is highest.
    std::uint8_t urgency = 0;

    auto operator==(const route&) const -> bool = default;

    // The service of this flow, the same on every balancer; the route must
    // have a target with a weight.
    auto service_of(const flow_key& flow) const -> const std::string&;
};

// All routes at one version of the operators' configuration.
struct route_table
{
    configuration_version version = 0;
    std::map<endpoint, route> routes;
    // How long a flow may be silent.
    millis idle_timeout = seconds(60);

    auto find(const endpoint& address) const -> const route*;
};

} // namespace briardrum

#endif
