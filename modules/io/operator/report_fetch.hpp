#ifndef BRIARDRUM_IO_OPERATOR_REPORT_FETCH_HPP
#define BRIARDRUM_IO_OPERATOR_REPORT_FETCH_HPP

#include "report/report.hpp"

namespace briardrum
{

// Asks a daemon's HTTP address for what it counted. Waits a few seconds at
// most; error_kind::unavailable when there is no answer.
auto fetch_reports(const endpoint& daemon)
    -> absl::StatusOr<std::vector<process_report>>;

} // namespace briardrum

#endif
