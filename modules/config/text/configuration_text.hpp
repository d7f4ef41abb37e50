#ifndef BRIARDRUM_CONFIG_TEXT_CONFIGURATION_TEXT_HPP
#define BRIARDRUM_CONFIG_TEXT_CONFIGURATION_TEXT_HPP

#include "config/model/configuration.hpp"

#include <absl/status/statusor.h>
#include <string>
#include <string_view>

namespace briardrum
{

// Parses a whole configuration from a JSON document, which may have comments:
//
//     {
//         "version": 1,
//         "in_force": "ordinary",
//         "services": {"manifest": {"address": "10.0.0.1:5683"}},
//         "presets": {"ordinary": {"manifest": {"share_percent": 60}}},
//         "cookie_keys": [{"id": 1, "secret": "..64 hex digits.."}]
//     }
//
// Services without an id are assigned one in the order of their names. The
// result is validated. Fails with error_kind::invalid_argument and one line for
// each problem.
auto parse_configuration(std::string_view text)
    -> absl::StatusOr<configuration>;

// Returns the configuration as an indented document that parse_configuration()
// accepts.
auto write_configuration(const configuration& value) -> std::string;

} // namespace briardrum

#endif
