#ifndef BRIARDRUM_REPORT_PAGE_WRITE_HTML_HPP
#define BRIARDRUM_REPORT_PAGE_WRITE_HTML_HPP

#include "report/model/day_report.hpp"

#include <string>

namespace briardrum
{

// The page as one self-contained HTML document without script, for a phone,
// a screen and paper.
auto write_html(const day_report& report) -> std::string;

} // namespace briardrum

#endif
