#include "report/format/numbers.hpp"

#include <array>
#include <chrono>
#include <cmath>
#include <cstdio>

namespace briardrum
{

namespace
{

auto two_digits(std::int64_t n) -> std::string
{
    return (n < 10 ? "0" : "") + std::to_string(n);
}

} // namespace

auto format_count(std::uint64_t n) -> std::string
{
    auto digits = std::to_string(n);
    for (auto position = static_cast<int>(digits.size()) - 3; position > 0;
         position -= 3)
    {
        digits.insert(static_cast<std::size_t>(position), ",");
    }
    return digits;
}

auto format_number(double value, int decimals) -> std::string
{
    std::array<char, 64> buf{};
    std::snprintf(buf.data(), buf.size(), "%.*f", decimals, value);
    return buf.data();
}

auto format_percent(double share, int decimals) -> std::string
{
    return format_number(share * 100, decimals) + "%";
}

auto format_duration(millis duration) -> std::string
{
    if (duration < seconds(1))
    {
        return std::to_string(duration.count) + " ms";
    }
    return format_number(static_cast<double>(duration.count) / 1000, 1) + " s";
}

auto format_date(millis wall_time) -> std::string
{
    const auto days = std::chrono::floor<std::chrono::days>(
        std::chrono::sys_time<std::chrono::milliseconds>(
            std::chrono::milliseconds(wall_time.count)));
    const std::chrono::year_month_day date(days);
    return std::to_string(static_cast<int>(date.year())) + "-" +
           two_digits(static_cast<unsigned>(date.month())) + "-" +
           two_digits(static_cast<unsigned>(date.day()));
}

auto format_time(millis wall_time, millis day_start) -> std::string
{
    const auto minute = (wall_time - day_start).count / minutes(1).count;
    return two_digits(minute / 60) + ":" + two_digits(minute % 60);
}

} // namespace briardrum
