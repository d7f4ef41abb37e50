#include "packets/balancer/service_openings.hpp"

#include <algorithm>
#include <cmath>

namespace briardrum
{

namespace
{

// Share of slow openings beyond which a service is not calm.
constexpr double slow_share_max = 0.1;
// The percentile alone leaves a share of slow openings; this many more are
// tolerated where that share is large.
constexpr double slow_share_margin = 0.05;
// Samples between two evaluations of the percentile, which sorts a copy.
constexpr std::size_t update_interval = 32;

} // namespace

auto service_openings::add_sample(millis elapsed, double percentile) -> void
{
    const auto sample = static_cast<std::uint16_t>(
        std::clamp<std::int64_t>(elapsed.count, 0, UINT16_MAX));
    if (samples_.size() < samples_max)
    {
        samples_.push_back(sample);
    }
    else
    {
        samples_[next_sample_] = sample;
        next_sample_ = (next_sample_ + 1) % samples_max;
    }
    ++since_update_;
    const auto first = samples_.size() == samples_min;
    if (first || since_update_ >= update_interval ||
        percentile != percentile_used_)
    {
        update_percentile(percentile);
    }
}

auto service_openings::update_percentile(double percentile) -> void
{
    since_update_ = 0;
    percentile_used_ = percentile;
    auto sorted = samples_;
    const auto rank =
        std::ceil(percentile / 100 * static_cast<double>(sorted.size())) - 1;
    const auto index = std::min(sorted.size() - 1,
                                static_cast<std::size_t>(std::max(0.0, rank)));
    const auto it = sorted.begin() + static_cast<std::ptrdiff_t>(index);
    std::nth_element(sorted.begin(), it, sorted.end());
    percentile_value_ = milliseconds(*it);
}

auto service_openings::delay(millis floor) const -> std::optional<millis>
{
    if (samples_.size() < samples_min)
    {
        return std::nullopt;
    }
    return std::max(floor, percentile_value_);
}

auto service_openings::add_outcome(millis now, bool answered) -> void
{
    const auto index = now.count / slot_length.count;
    auto& it = slots_[static_cast<std::size_t>(index) % slot_count];
    if (it.index != index)
    {
        it = {index, {}};
    }
    ++it.counts.openings;
    it.counts.unanswered += answered ? 0 : 1;
}

auto service_openings::recent(millis now) const -> outcome_counts
{
    const auto newest = now.count / slot_length.count;
    outcome_counts out;
    for (const auto& it : slots_)
    {
        if (it.index > newest - static_cast<std::int64_t>(slot_count))
        {
            out.openings += it.counts.openings;
            out.unanswered += it.counts.unanswered;
        }
    }
    return out;
}

auto service_openings::is_calm(millis now, double percentile) const -> bool
{
    const auto counts = recent(now);
    const auto expected = 1 - percentile / 100;
    const auto allowed = std::max(slow_share_max, expected + slow_share_margin);
    return counts.openings >= calm_openings_min &&
           counts.unanswered <= allowed * counts.openings;
}

auto service_openings::earn(const hedging_settings& settings) -> void
{
    const auto limit = settings.share > 0 ? double{1} * settings.cap : 0;
    tokens_ = std::min(limit, tokens_ + settings.share);
}

auto service_openings::has_token() const -> bool
{
    // Sums of shares such as 0.1 fall short of a whole number by rounding.
    constexpr double rounding = 1e-9;
    return tokens_ >= 1 - rounding;
}

auto service_openings::spend() -> void
{
    tokens_ = std::max(0.0, tokens_ - 1);
}

} // namespace briardrum
