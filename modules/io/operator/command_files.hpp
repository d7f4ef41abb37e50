#ifndef BRIARDRUM_IO_OPERATOR_COMMAND_FILES_HPP
#define BRIARDRUM_IO_OPERATOR_COMMAND_FILES_HPP

#include "config/config.hpp"

#include <absl/status/statusor.h>
#include <map>
#include <string>

namespace briardrum
{

// Reads the policies of a preset from a file in JSON with comments:
// {"orders": {"share_percent": 60, "urgency": "urgent"}, ...}.
auto read_preset_file(const std::string& file)
    -> absl::StatusOr<std::map<std::string, service_policy>>;

// Reads a service from a file: {"address": "10.0.0.1:5683", ...}.
auto read_service_file(const std::string& file)
    -> absl::StatusOr<service_fields>;

} // namespace briardrum

#endif
