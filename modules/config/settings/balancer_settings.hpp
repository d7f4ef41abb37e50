#ifndef BRIARDRUM_CONFIG_SETTINGS_BALANCER_SETTINGS_HPP
#define BRIARDRUM_CONFIG_SETTINGS_BALANCER_SETTINGS_HPP

#include "config/settings/process_settings.hpp"

#include <absl/status/statusor.h>

namespace briardrum
{

// What a balancer is told at start.
struct balancer_settings
{
    process_settings process;
    // Own address for the fabric's packets (UDP).
    endpoint packets;
    // Where answers to callers go.
    endpoint fabric;
};

// Reads and checks settings; the error names every fault. source stands in
// the messages.
auto parse_balancer_settings(std::string_view text, const std::string& source)
    -> absl::StatusOr<balancer_settings>;

auto load_balancer_settings(const std::string& file)
    -> absl::StatusOr<balancer_settings>;

} // namespace briardrum

#endif
