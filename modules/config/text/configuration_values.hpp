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

// The key-value form in which a configuration is stored and sent: one small
// JSON value for each part, so that the size of a change is a few hundred bytes
// regardless of the size of the configuration.
//
//     root                    version, change, author, time, preset in force
//     cookie_keys             ids and secrets of the cookie keys
//     service/NAME            address, id, repeatable methods
//     preset/NAME             {}
//     policy/PRESET/SERVICE   share, urgency, limits
//
// Every change rewrites root. Readers compare its version to detect changes.

constexpr std::string_view root_key = "root";
constexpr std::string_view cookie_keys_key = "cookie_keys";
constexpr std::string_view service_prefix = "service/";
constexpr std::string_view preset_prefix = "preset/";
constexpr std::string_view policy_prefix = "policy/";

// Returns a snapshot: all values of a configuration, root last.
auto write_values(const configuration& value)
    -> std::vector<configuration_change>;

// Returns the changes that turn before into after, root last.
auto changes_between(const configuration& before, const configuration& after)
    -> std::vector<configuration_change>;

// Returns base with the changes applied; a snapshot is applied to an empty
// configuration. Unknown keys are ignored, so that a daemon can read what a
// later release wrote. Fails with error_kind::malformed and one line for each
// problem if a value cannot be parsed or the result is not a valid
// configuration.
auto apply_changes(configuration base,
                   std::span<const configuration_change> changes)
    -> absl::StatusOr<configuration>;

// Returns the root value: version, change, author, time, preset in force and
// next service id.
auto write_root(const configuration& value) -> std::string;

// Returns the version in a root value, or 0 if it cannot be parsed.
auto parse_root_version(std::string_view root) -> configuration_version;

} // namespace briardrum

#endif
