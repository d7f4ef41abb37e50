#ifndef BRIARDRUM_REPORT_PAGE_WRITE_TEXT_HPP
#define BRIARDRUM_REPORT_PAGE_WRITE_TEXT_HPP

#include "report/model/day_report.hpp"

#include <string>

namespace briardrum
{

// Writes the page as plain text for a terminal of 80 columns.
auto write_text(const day_report& report) -> std::string;

} // namespace briardrum

#endif
