#ifndef BRIARDRUM_REPORT_MODEL_MERGE_REPORTS_HPP
#define BRIARDRUM_REPORT_MODEL_MERGE_REPORTS_HPP

#include "report/model/process_report.hpp"

#include <span>
#include <vector>

namespace briardrum
{

// Joins reports taken at any times from any processes: one for each life of
// each process, by name and life, without counting an interval twice.
// Counters only grow, so of two counts of the same interval the larger is the
// later one. Merging again changes nothing, and the order does not matter.
auto merge_reports(std::span<const process_report> reports)
    -> std::vector<process_report>;

} // namespace briardrum

#endif
