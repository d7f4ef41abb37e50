#ifndef BRIARDRUM_REPORT_PAGE_PAGE_ROWS_HPP
#define BRIARDRUM_REPORT_PAGE_PAGE_ROWS_HPP

#include "report/model/day_report.hpp"

#include <string>
#include <vector>

namespace briardrum
{

// One row of the page.
struct page_row
{
    std::string label;
    std::string value;
};

// The text and HTML pages share these rows, so that both show the same content.

// "no requests", "within its objective", or what did not go well.
auto status_text_of(const service_day& service) -> std::string;

auto rows_of(const service_day& service) -> std::vector<page_row>;

// Refused and dropped requests by urgency, without urgencies that had none.
auto urgency_rows_of(const service_day& service) -> std::vector<page_row>;

// The reported period: "2026-12-04, 00:00 to 16:05 UTC".
auto period_of(const day_report& report) -> std::string;

auto preset_rows_of(const day_report& report) -> std::vector<page_row>;

auto gap_rows_of(const day_report& report) -> std::vector<page_row>;

auto lagging_rows_of(const day_report& report) -> std::vector<page_row>;

} // namespace briardrum

#endif
