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

// Writes reports as one JSON document. A daemon serves this format at /report,
// and files of merged reports use it too.
auto write_reports(std::span<const process_report> reports) -> std::string;

// Reads such a document. Returns error_kind::malformed if it is not a report,
// and wrong_version if it has a different format version.
auto read_reports(std::string_view text)
    -> absl::StatusOr<std::vector<process_report>>;

} // namespace briardrum

#endif
