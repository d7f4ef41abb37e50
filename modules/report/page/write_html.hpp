#ifndef BRIARDRUM_REPORT_PAGE_WRITE_HTML_HPP
#define BRIARDRUM_REPORT_PAGE_WRITE_HTML_HPP

#include "report/model/day_report.hpp"

#include <string>

namespace briardrum
{

// Writes the page as one self-contained HTML document without scripts, laid
// out for phones, desktop screens and print.
auto write_html(const day_report& report) -> std::string;

} // namespace briardrum

#endif
