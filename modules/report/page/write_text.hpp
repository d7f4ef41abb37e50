#ifndef BRIARDRUM_REPORT_PAGE_WRITE_TEXT_HPP
#define BRIARDRUM_REPORT_PAGE_WRITE_TEXT_HPP

#include "report/model/day_report.hpp"

#include <string>

namespace briardrum
{

// The page for a terminal, eighty columns wide.
auto write_text(const day_report& report) -> std::string;

} // namespace briardrum

#endif
