#ifndef BRIARDRUM_REPORT_METRICS_LATENCY_HISTOGRAM_HPP
#define BRIARDRUM_REPORT_METRICS_LATENCY_HISTOGRAM_HPP

#include "core/core.hpp"

#include <boost/histogram.hpp>
#include <memory>
#include <span>
#include <vector>

namespace briardrum
{

// Latencies counted in logarithmic steps from 1 ms to a minute, so that
// histograms of many processes add up and still give percentiles. An empty
// one takes next to no memory.
class latency_histogram
{
public:
    latency_histogram() = default;
    latency_histogram(const latency_histogram& other);
    latency_histogram(latency_histogram&& other) noexcept = default;
    ~latency_histogram() = default;
    auto operator=(const latency_histogram& other) -> latency_histogram&;
    auto operator=(latency_histogram&& other) noexcept
        -> latency_histogram& = default;

    auto add(millis latency) -> void;
    auto merge(const latency_histogram& other) -> void;

    // The latency that this share of requests did not exceed, to within one
    // step; 0 when nothing was counted.
    auto percentile(double share) const -> millis;

    // Counts by step, the first below 1 ms and the last beyond a minute;
    // empty when nothing was counted.
    auto counts() const -> std::vector<std::uint64_t>;

    // How many were counted in all, and how many of them within this latency,
    // to within one step.
    auto total() const -> std::uint64_t;
    auto count_within(millis latency) const -> std::uint64_t;

    // Takes counts back; false when there are not as many as steps.
    auto set_counts(std::span<const std::uint64_t> counts) -> bool;

private:
    using axis =
        boost::histogram::axis::regular<double,
                                        boost::histogram::axis::transform::log>;
    using storage = boost::histogram::dense_storage<std::uint64_t>;
    using histogram = boost::histogram::histogram<std::tuple<axis>, storage>;

    auto ensure_allocated() -> histogram&;

    std::unique_ptr<histogram> histogram_;
};

} // namespace briardrum

#endif
