#ifndef BRIARDRUM_CONFIG_SETTINGS_BALANCER_SETTINGS_HPP
#define BRIARDRUM_CONFIG_SETTINGS_BALANCER_SETTINGS_HPP

#include "config/settings/process_settings.hpp"

#include <absl/status/statusor.h>

namespace briardrum
{

// Settings that a balancer reads at start.
struct balancer_settings
{
    process_settings process;
    // Local UDP address that receives packets from the fabric.
    endpoint packets;
    // Address of the fabric, to which answers for callers are sent.
    endpoint fabric;
};

// Parses and validates settings. On failure the error has one line for each
// problem, prefixed with source.
auto parse_balancer_settings(std::string_view text, const std::string& source)
    -> absl::StatusOr<balancer_settings>;

// Like parse_balancer_settings() for the content of a file; the path is the
// source.
auto load_balancer_settings(const std::string& file)
    -> absl::StatusOr<balancer_settings>;

} // namespace briardrum

#endif
