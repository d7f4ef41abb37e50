#ifndef BRIARDRUM_REPORT_PAGE_PAGE_ROWS_HPP
#define BRIARDRUM_REPORT_PAGE_PAGE_ROWS_HPP

#include "report/model/day_report.hpp"

#include <string>
#include <vector>

namespace briardrum
{

// A line of the page: what, and how much.
struct page_row
{
    std::string label;
    std::string value;
};

// The lines that the text and the HTML page share, so that both say the same.

// "within its objective", or what did not go well.
auto status_text_of(const service_day& service) -> std::string;

auto rows_of(const service_day& service) -> std::vector<page_row>;

// Refused and dropped by urgency; only urgencies that had requests.
auto urgency_rows_of(const service_day& service) -> std::vector<page_row>;

// "2026-12-04, 00:00 to 16:05 UTC, 10 processes"
auto period_of(const day_report& report) -> std::string;

auto preset_rows_of(const day_report& report) -> std::vector<page_row>;

auto gap_rows_of(const day_report& report) -> std::vector<page_row>;

auto lagging_rows_of(const day_report& report) -> std::vector<page_row>;

} // namespace briardrum

#endif
