#ifndef BRIARDRUM_CONFIG_TEXT_CONFIGURATION_TEXT_HPP
#define BRIARDRUM_CONFIG_TEXT_CONFIGURATION_TEXT_HPP

#include "config/model/configuration.hpp"

#include <absl/status/statusor.h>
#include <string>
#include <string_view>

namespace briardrum
{

// Reads a whole configuration from one JSON document with comments:
//
//     {
//         "version": 1,
//         "in_force": "ordinary",
//         "services": {"manifest": {"address": "10.0.0.1:5683"}},
//         "presets": {"ordinary": {"manifest": {"share_percent": 60}}},
//         "cookie_keys": [{"id": 1, "secret": "..64 hex digits.."}]
//     }
//
// Service ids that are left out are given in the order of names. The whole
// is checked; error_kind::invalid_argument has one line for each problem.
auto parse_configuration(std::string_view text)
    -> absl::StatusOr<configuration>;

// Writes the document that parse_configuration() reads, indented.
auto write_configuration(const configuration& value) -> std::string;

} // namespace briardrum

#endif
