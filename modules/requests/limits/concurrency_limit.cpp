#include "requests/limits/concurrency_limit.hpp"

#include <algorithm>

namespace briardrum
{

namespace
{

// Assumed for a server that advertises no number of slots.
constexpr std::uint32_t default_slots = 4;

constexpr double overload_factor = 0.7;
constexpr double slowdown_factor = 0.9;
// A recent latency above this multiple of the baseline counts as a slowdown.
constexpr double slowdown_ratio = 2;
// Minimum time between two decreases. Answers to requests that were dispatched
// before a decrease do not show its effect yet.
constexpr millis decrease_interval_min = milliseconds(100);

} // namespace

auto concurrency_limit::set_slots(std::uint32_t slots) -> void
{
    limit_max_ = slots == 0 ? default_slots : slots;
    limit_ = std::min(limit_, limit_max_);
}

auto concurrency_limit::on_answered(millis now, millis latency,
                                    std::size_t running) -> void
{
    latency_.add(latency);
    const auto slow = latency_.has_baseline() &&
                      latency_.recent() > slowdown_ratio * latency_.baseline();
    if (slow)
    {
        decrease(now, slowdown_factor);
        return;
    }
    // No increase if fewer than value() - 1 requests were running: the server
    // has not been tested at this load.
    if (running + 1 < value())
    {
        return;
    }
    limit_ += slow_start_ ? 1 : 1 / limit_;
    limit_ = std::min(limit_, limit_max_);
}

auto concurrency_limit::on_overloaded(millis now) -> void
{
    decrease(now, overload_factor);
}

auto concurrency_limit::on_timed_out(millis now, millis waited) -> void
{
    latency_.add(waited);
    decrease(now, overload_factor);
}

auto concurrency_limit::restart() -> void
{
    limit_ = 1;
    slow_start_ = true;
    latency_ = {};
}

auto concurrency_limit::value() const -> std::size_t
{
    return static_cast<std::size_t>(std::max(1.0, limit_));
}

auto concurrency_limit::latency() const -> const latency_estimate&
{
    return latency_;
}

auto concurrency_limit::decrease(millis now, double factor) -> void
{
    const millis round_trip{static_cast<std::int64_t>(latency_.recent())};
    const auto interval = std::max(decrease_interval_min, round_trip);
    if (now - last_decrease_ < interval)
    {
        return;
    }
    last_decrease_ = now;
    slow_start_ = false;
    limit_ = std::max(1.0, limit_ * factor);
}

} // namespace briardrum
