#ifndef BRIARDRUM_REPORT_PAGE_REQUEST_PLOT_HPP
#define BRIARDRUM_REPORT_PAGE_REQUEST_PLOT_HPP

#include "report/model/day_report.hpp"

#include <string>

namespace briardrum
{

// Plots the requests of a service over a day as an SVG bar chart: good and bad
// requests per quarter of an hour, with the hours along the horizontal axis and
// the largest count in the caption.
auto write_request_plot(const report_day& day, const service_day& service)
    -> std::string;

} // namespace briardrum

#endif
