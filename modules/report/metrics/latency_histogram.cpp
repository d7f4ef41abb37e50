#include "report/metrics/latency_histogram.hpp"

#include <cmath>
#include <numeric>

namespace briardrum
{

namespace
{

constexpr unsigned bucket_count = 80;
constexpr double min_latency_ms = 1;
constexpr double max_latency_ms = 60000;

} // namespace

latency_histogram::latency_histogram(const latency_histogram& other)
{
    *this = other;
}

auto latency_histogram::operator=(const latency_histogram& other)
    -> latency_histogram&
{
    if (this != &other)
    {
        histogram_ = other.histogram_ == nullptr
                         ? nullptr
                         : std::make_unique<histogram>(*other.histogram_);
    }
    return *this;
}

auto latency_histogram::add(millis latency) -> void
{
    ensure_allocated()(static_cast<double>(latency.count));
}

auto latency_histogram::merge(const latency_histogram& other) -> void
{
    if (other.histogram_ != nullptr)
    {
        ensure_allocated() += *other.histogram_;
    }
}

auto latency_histogram::percentile(double share) const -> millis
{
    const auto all = counts();
    const auto total =
        std::accumulate(all.begin(), all.end(), std::uint64_t{0});
    const auto threshold = share * static_cast<double>(total);
    std::uint64_t cumulative = 0;
    for (std::size_t n = 0; n < all.size(); ++n)
    {
        cumulative += all[n];
        if (cumulative > 0 && static_cast<double>(cumulative) >= threshold)
        {
            // The upper edge of the bucket; bucket 0 lies below the axis.
            const auto edge = histogram_->axis(0).value(static_cast<double>(n));
            return {std::llround(std::min(edge, max_latency_ms))};
        }
    }
    return {};
}

auto latency_histogram::total() const -> std::uint64_t
{
    const auto all = counts();
    return std::accumulate(all.begin(), all.end(), std::uint64_t{0});
}

auto latency_histogram::count_within(millis latency) const -> std::uint64_t
{
    std::uint64_t out = 0;
    const auto all = counts();
    for (std::size_t n = 0; n < all.size(); ++n)
    {
        const auto edge = histogram_->axis(0).value(static_cast<double>(n));
        out += edge <= static_cast<double>(latency.count) + 0.5 ? all[n] : 0;
    }
    return out;
}

auto latency_histogram::counts() const -> std::vector<std::uint64_t>
{
    std::vector<std::uint64_t> out;
    if (histogram_ == nullptr)
    {
        return out;
    }
    out.reserve(bucket_count + 2);
    for (int n = -1; n <= static_cast<int>(bucket_count); ++n)
    {
        out.push_back(histogram_->at(n));
    }
    return out;
}

auto latency_histogram::set_counts(std::span<const std::uint64_t> counts)
    -> bool
{
    if (counts.empty())
    {
        histogram_ = nullptr;
        return true;
    }
    if (counts.size() != bucket_count + 2)
    {
        return false;
    }
    auto& into = ensure_allocated();
    int index = -1;
    for (const auto count : counts)
    {
        into.at(index) = count;
        ++index;
    }
    return true;
}

auto latency_histogram::ensure_allocated() -> histogram&
{
    if (histogram_ == nullptr)
    {
        histogram_ = std::make_unique<histogram>(
            std::make_tuple(axis(bucket_count, min_latency_ms, max_latency_ms)),
            storage());
    }
    return *histogram_;
}

} // namespace briardrum
