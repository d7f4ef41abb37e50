#ifndef BRIARDRUM_IO_OPERATOR_DAEMON_VERSIONS_HPP
#define BRIARDRUM_IO_OPERATOR_DAEMON_VERSIONS_HPP

#include "core/core.hpp"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace briardrum
{

// What one daemon says about the configuration in force there.
struct daemon_version
{
    endpoint address;
    // Nothing when it did not answer.
    std::optional<configuration_version> version;
};

// Asks daemons at their HTTP addresses, a few at a time.
auto ask_daemon_versions(std::span<const endpoint> daemons)
    -> std::vector<daemon_version>;

// The version in a daemon's metrics.
auto version_in_metrics(std::string_view text)
    -> std::optional<configuration_version>;

} // namespace briardrum

#endif
