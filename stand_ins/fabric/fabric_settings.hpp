#ifndef BRIARDRUM_STAND_INS_FABRIC_FABRIC_SETTINGS_HPP
#define BRIARDRUM_STAND_INS_FABRIC_FABRIC_SETTINGS_HPP

#include "core/core.hpp"

#include <string>
#include <vector>

namespace briardrum
{

// What the command line says.
struct fabric_settings
{
    // Where callers reach the services.
    std::vector<endpoint> services;
    // Where balancers reach the fabric.
    endpoint back;
    // File with one balancer address per line.
    std::string balancers;
    // Chance that a datagram is lost, in each direction.
    double drop_percent = 0;
    std::uint64_t seed = 1;
    // Print the counts at the end.
    bool report = false;
};

} // namespace briardrum

#endif
