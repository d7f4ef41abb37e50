#ifndef BRIARDRUM_REPORT_PAGE_REQUEST_PLOT_HPP
#define BRIARDRUM_REPORT_PAGE_REQUEST_PLOT_HPP

#include "report/model/day_report.hpp"

#include <string>

namespace briardrum
{

// A service's day as an SVG plot: requests in each quarter of an hour, good
// ones and others, with hours along the foot and the largest count beside.
auto write_request_plot(const report_day& day, const service_day& service)
    -> std::string;

} // namespace briardrum

#endif
