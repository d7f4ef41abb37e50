#ifndef BRIARDRUM_REPORT_MODEL_REPORT_JSON_HPP
#define BRIARDRUM_REPORT_MODEL_REPORT_JSON_HPP

#include "report/model/process_report.hpp"

#include <absl/status/statusor.h>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace briardrum
{

// Writes reports as one JSON document: what a daemon serves at /report, and
// what a file of several merged reports holds.
auto write_reports(std::span<const process_report> reports) -> std::string;

// Reads such a document; error_kind::malformed when it is none, and
// wrong_version when it was written by another format.
auto read_reports(std::string_view text)
    -> absl::StatusOr<std::vector<process_report>>;

} // namespace briardrum

#endif
