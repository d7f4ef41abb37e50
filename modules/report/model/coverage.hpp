#ifndef BRIARDRUM_REPORT_MODEL_COVERAGE_HPP
#define BRIARDRUM_REPORT_MODEL_COVERAGE_HPP

#include "report/model/day_report.hpp"

namespace briardrum
{

// Returns the periods that no report covers. A gap runs from the last report
// of one incarnation of a process to the start of its next incarnation, or to
// the end of the day. An incarnation that shut down gracefully leaves no gap.
// Expects merged reports in order of name and incarnation.
auto coverage_gaps(const report_day& day,
                   std::span<const process_report> reports)
    -> std::vector<coverage_gap>;

// Returns the processes that reported within the last interval and hold an
// older configuration than the newest that any process holds.
auto lagging_processes(const report_day& day,
                       std::span<const process_report> reports)
    -> std::vector<lagging_process>;

// Returns the periods in which each preset was in force, as the processes
// reported them.
auto preset_spans(const report_day& day,
                  std::span<const process_report> reports)
    -> std::vector<preset_span>;

} // namespace briardrum

#endif
