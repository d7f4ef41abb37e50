#ifndef BRIARDRUM_CONFIG_TEXT_CONFIGURATION_VALUES_HPP
#define BRIARDRUM_CONFIG_TEXT_CONFIGURATION_VALUES_HPP

#include "config/model/configuration.hpp"
#include "config/model/configuration_change.hpp"

#include <absl/status/statusor.h>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace briardrum
{

// A configuration as it is stored and sent: one small JSON value for each
// part, so that a change is a few hundred bytes however large the whole is.
//
//     root                    version, change, author, time, preset in force
//     cookie_keys             the keys
//     service/NAME            address, id, repeatable methods
//     preset/NAME             {}
//     policy/PRESET/SERVICE   share, urgency, limits
//
// Every change rewrites root, whose version is what readers compare.

constexpr std::string_view root_key = "root";
constexpr std::string_view cookie_keys_key = "cookie_keys";
constexpr std::string_view service_prefix = "service/";
constexpr std::string_view preset_prefix = "preset/";
constexpr std::string_view policy_prefix = "policy/";

// All values, root last: a snapshot.
auto write_values(const configuration& value)
    -> std::vector<configuration_change>;

// The values that lead from one configuration to the other, root last.
auto changes_between(const configuration& before, const configuration& after)
    -> std::vector<configuration_change>;

// The configuration after these changes; a snapshot goes onto an empty one.
// Keys that are no part of a configuration are ignored, so that a daemon
// reads what a later release wrote. error_kind::malformed when a value cannot
// be read or the whole does not hold together, with a line for each problem.
auto apply_changes(configuration base,
                   std::span<const configuration_change> changes)
    -> absl::StatusOr<configuration>;

// The root value alone: version, change, author, time and preset in force.
auto write_root(const configuration& value) -> std::string;

// The version that a root value names, or 0 when it cannot be read.
auto parse_root_version(std::string_view root) -> configuration_version;

} // namespace briardrum

#endif
