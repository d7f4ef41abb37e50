#include "requests/limits/latency_estimate.hpp"

#include <algorithm>

namespace briardrum
{

namespace
{

// Window lengths in answers.
constexpr double recent_window = 16;
constexpr double baseline_window = 512;
constexpr std::uint64_t baseline_samples_min = 64;

// Updates an exponential moving average. Until the window is full it is the
// plain mean.
auto update_average(double& average, double sample, double window,
                    std::uint64_t count) -> void
{
    const auto effective_window = std::min(window, static_cast<double>(count));
    average += (sample - average) / effective_window;
}

} // namespace

auto latency_estimate::add(millis latency) -> void
{
    ++count_;
    const auto sample = static_cast<double>(latency.count);
    update_average(recent_, sample, recent_window, count_);
    update_average(baseline_, sample, baseline_window, count_);
}

auto latency_estimate::recent() const -> double
{
    return recent_;
}

auto latency_estimate::baseline() const -> double
{
    return baseline_;
}

auto latency_estimate::has_baseline() const -> bool
{
    return count_ >= baseline_samples_min;
}

} // namespace briardrum
