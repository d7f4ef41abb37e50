#include "requests/limits/latency_estimate.hpp"

#include <algorithm>

namespace briardrum
{

namespace
{

// Answers over which the two averages reach back.
constexpr double recent_window = 16;
constexpr double baseline_window = 512;
constexpr std::uint64_t settled_count = 64;

// Moves an average towards a value; exact over the first answers.
auto move_average(double& average, double value, double window,
                  std::uint64_t count) -> void
{
    const auto reach = std::min(window, static_cast<double>(count));
    average += (value - average) / reach;
}

} // namespace

auto latency_estimate::add(millis latency) -> void
{
    ++count_;
    const auto value = static_cast<double>(latency.count);
    move_average(recent_, value, recent_window, count_);
    move_average(baseline_, value, baseline_window, count_);
}

auto latency_estimate::recent() const -> double
{
    return recent_;
}

auto latency_estimate::baseline() const -> double
{
    return baseline_;
}

auto latency_estimate::is_settled() const -> bool
{
    return count_ >= settled_count;
}

} // namespace briardrum
