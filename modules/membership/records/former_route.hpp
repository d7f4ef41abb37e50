#ifndef BRIARDRUM_MEMBERSHIP_RECORDS_FORMER_ROUTE_HPP
#define BRIARDRUM_MEMBERSHIP_RECORDS_FORMER_ROUTE_HPP

#include "core/core.hpp"

#include <string>

namespace briardrum
{

// A service that a route led to a short time ago, so that flows of the route
// may still be open there.
struct former_route
{
    // Address and port that callers of the route send to.
    endpoint address;
    std::string service_name;

    auto operator==(const former_route&) const -> bool = default;
};

} // namespace briardrum

#endif
