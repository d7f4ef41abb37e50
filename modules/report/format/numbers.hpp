#ifndef BRIARDRUM_REPORT_FORMAT_NUMBERS_HPP
#define BRIARDRUM_REPORT_FORMAT_NUMBERS_HPP

#include "core/core.hpp"

#include <string>

namespace briardrum
{

// Numbers and times as a person reads them. Times are UTC.

// "1,234,567"
auto format_count(std::uint64_t n) -> std::string;

// With so many decimals: "3.1"
auto format_number(double value, int decimals) -> std::string;

// A share as percent: 0.9991 with one decimal is "99.9%"
auto format_percent(double share, int decimals) -> std::string;

// "35 ms", "1.2 s"
auto format_duration(millis duration) -> std::string;

// "2026-12-04"
auto format_date(millis wall_time) -> std::string;

// "16:05"; the end of a day is "24:00" when day_start is given.
auto format_time(millis wall_time, millis day_start) -> std::string;

} // namespace briardrum

#endif
