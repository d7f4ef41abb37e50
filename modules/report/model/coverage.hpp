#ifndef BRIARDRUM_REPORT_MODEL_COVERAGE_HPP
#define BRIARDRUM_REPORT_MODEL_COVERAGE_HPP

#include "report/model/day_report.hpp"

namespace briardrum
{

// Which times no report covers: between the last report of one life of a
// process and the start of its next, or the end of the day, unless the life
// ended in a graceful shutdown. Merged reports, in order of name and life.
auto coverage_gaps(const report_day& day,
                   std::span<const process_report> reports)
    -> std::vector<coverage_gap>;

// Processes that were asked within the last interval and hold an older
// configuration than the newest that any process holds.
auto lagging_processes(const report_day& day,
                       std::span<const process_report> reports)
    -> std::vector<lagging_process>;

// Which preset was in force when, as the processes saw it.
auto preset_spans(const report_day& day,
                  std::span<const process_report> reports)
    -> std::vector<preset_span>;

} // namespace briardrum

#endif
