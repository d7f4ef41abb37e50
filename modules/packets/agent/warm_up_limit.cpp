#include "packets/agent/warm_up_limit.hpp"

#include <algorithm>
#include <cmath>

namespace briardrum
{

namespace
{

constexpr millis clock_step = milliseconds(1);

// Rates have three decimals. A sum that is a whole number but for the rounding
// of its fractions counts as that number.
auto whole_part(double value) -> std::size_t
{
    constexpr double rounding = 1e-6;
    const auto limit = static_cast<double>(warm_up_limit::openings_max);
    return static_cast<std::size_t>(
        std::floor(std::clamp(value + rounding, 0.0, limit)));
}

} // namespace

warm_up_limit::warm_up_limit(std::optional<warm_up_settings> settings,
                             millis started_at)
    : settings_(settings), started_at_(started_at)
{
}

auto warm_up_limit::set_rate(std::optional<double> requests_per_second) -> void
{
    rate_ = requests_per_second.value_or(0);
}

auto warm_up_limit::on_heartbeat(millis now, millis warm_up_left) -> void
{
    heard_ = true;
    cold_ = warm_up_left > millis{};
    cold_until_ = now + warm_up_left;
}

auto warm_up_limit::on_restart_suspected() -> void
{
    heard_ = false;
}

auto warm_up_limit::on_opening_sent(millis now) -> void
{
    if (!settings_.has_value())
    {
        return;
    }
    openings_.push_back(now);
    while (openings_.size() > openings_max || now - openings_.front() > window)
    {
        openings_.pop_front();
    }
}

auto warm_up_limit::allows_opening(millis now) const -> bool
{
    return !is_limited(now) || openings_in_window(now) < allowance(now);
}

auto warm_up_limit::expected_wait(millis now, std::size_t ahead) const -> millis
{
    if (!is_limited(now))
    {
        return {};
    }
    auto out = wait_in_order(now, ahead);
    if (is_first_second(now) && rate_.has_value())
    {
        out = std::min(out, started_at_ + window + clock_step - now);
    }
    if (const auto left = warm_up_left(now))
    {
        out = std::min(out, *left + clock_step);
    }
    return out;
}

// With an allowance of n, each opening has to follow the n-th before it by more
// than the window.
auto warm_up_limit::wait_in_order(millis now, std::size_t ahead) const -> millis
{
    const auto allowed = allowance(now);
    if (allowed == 0)
    {
        return unknown_wait;
    }
    const auto sent = openings_in_window(now);
    const auto first = openings_.size() - sent;
    auto place = sent + ahead;
    millis out;
    while (place >= allowed)
    {
        place -= allowed;
        out += window + clock_step;
        if (place < sent)
        {
            return out + openings_[first + place] - now;
        }
    }
    return out;
}

auto warm_up_limit::is_limited(millis now) const -> bool
{
    return settings_.has_value() && (!rate_.has_value() || *rate_ > 0) &&
           may_be_cold(now);
}

auto warm_up_limit::may_be_cold(millis now) const -> bool
{
    return !heard_ || (cold_ && now <= cold_until_);
}

auto warm_up_limit::is_first_second(millis now) const -> bool
{
    return now - started_at_ <= window;
}

// What a predecessor of the agent sent is unknown during the first second. It
// may have used up the rate and the slack, so that only the overshoot is left.
auto warm_up_limit::allowance(millis now) const -> std::size_t
{
    if (!settings_.has_value())
    {
        return openings_max;
    }
    const auto least = whole_part(settings_->slack / 2);
    if (!rate_.has_value())
    {
        return is_first_second(now) ? 0 : least;
    }
    if (is_first_second(now))
    {
        const auto reserve = *rate_ * (settings_->overshoot - 1);
        return std::min(least, whole_part(reserve));
    }
    const auto factor = std::min(settings_->overshoot, 1.0);
    return whole_part(*rate_ * factor + settings_->slack);
}

auto warm_up_limit::openings_in_window(millis now) const -> std::size_t
{
    const auto oldest = now - window;
    const auto it =
        std::lower_bound(openings_.begin(), openings_.end(), oldest);
    return static_cast<std::size_t>(openings_.end() - it);
}

auto warm_up_limit::warm_up_left(millis now) const -> std::optional<millis>
{
    if (!heard_)
    {
        return std::nullopt;
    }
    return cold_ ? std::max(cold_until_ - now, millis{}) : millis{};
}

} // namespace briardrum
