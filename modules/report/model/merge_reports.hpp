#ifndef BRIARDRUM_REPORT_MODEL_MERGE_REPORTS_HPP
#define BRIARDRUM_REPORT_MODEL_MERGE_REPORTS_HPP

#include "report/model/process_report.hpp"

#include <span>
#include <vector>

namespace briardrum
{

// Merges reports fetched at any time from any processes into one report per
// incarnation of each process, in order of name and incarnation. No interval
// is counted twice: counters only grow, so of two counts of the same interval
// the larger is the later one. Merging is idempotent and independent of order.
auto merge_reports(std::span<const process_report> reports)
    -> std::vector<process_report>;

} // namespace briardrum

#endif
