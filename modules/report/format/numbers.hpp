#ifndef BRIARDRUM_REPORT_FORMAT_NUMBERS_HPP
#define BRIARDRUM_REPORT_FORMAT_NUMBERS_HPP

#include "core/core.hpp"

#include <string>

namespace briardrum
{

// Formats numbers and times for people to read. Times are in UTC.

// With thousands separators: "1,234,567".
auto format_count(std::uint64_t n) -> std::string;

// With a fixed number of decimals: "3.1".
auto format_number(double value, int decimals) -> std::string;

// A fraction as a percentage: 0.9991 with one decimal is "99.9%".
auto format_percent(double share, int decimals) -> std::string;

// In milliseconds below one second, otherwise in seconds: "35 ms", "1.2 s".
auto format_duration(millis duration) -> std::string;

// The date of a wall clock time: "2026-12-04".
auto format_date(millis wall_time) -> std::string;

// Hours and minutes since day_start: "16:05". The end of that day is "24:00".
auto format_time(millis wall_time, millis day_start) -> std::string;

} // namespace briardrum

#endif
