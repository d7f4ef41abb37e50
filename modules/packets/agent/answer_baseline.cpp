#include "packets/agent/answer_baseline.hpp"

#include <algorithm>

namespace briardrum
{

namespace
{

// Number of samples for an estimate, for a median to compare answers with, and
// the most that are kept: four minutes at one sample a second.
constexpr std::size_t samples_for_estimate = 8;
constexpr std::size_t samples_min = 64;
constexpr std::size_t samples_max = 240;
constexpr millis sample_interval = seconds(1);

} // namespace

auto answer_baseline::add(millis now, millis answer_time) -> void
{
    if (is_settled() && now < next_sample_at_)
    {
        return;
    }
    next_sample_at_ = now + sample_interval;
    if (samples_.size() < samples_max)
    {
        samples_.push_back(answer_time);
    }
    else
    {
        samples_[oldest_] = answer_time;
        oldest_ = (oldest_ + 1) % samples_max;
    }
    if (samples_.size() >= samples_for_estimate)
    {
        auto sorted = samples_;
        const auto middle =
            sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
        std::nth_element(sorted.begin(), middle, sorted.end());
        median_ = *middle;
    }
}

auto answer_baseline::clear() -> void
{
    samples_.clear();
    oldest_ = 0;
    median_.reset();
}

auto answer_baseline::median() const -> std::optional<millis>
{
    return median_;
}

auto answer_baseline::is_settled() const -> bool
{
    return samples_.size() >= samples_min;
}

} // namespace briardrum
