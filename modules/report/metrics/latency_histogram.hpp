#ifndef BRIARDRUM_REPORT_METRICS_LATENCY_HISTOGRAM_HPP
#define BRIARDRUM_REPORT_METRICS_LATENCY_HISTOGRAM_HPP

#include "core/core.hpp"

#include <boost/histogram.hpp>
#include <memory>
#include <span>
#include <vector>

namespace briardrum
{

// Counts latencies in logarithmic buckets from 1 ms to one minute. All
// histograms have the same buckets, so those of many processes can be merged
// and still give percentiles. Storage is allocated with the first latency, so
// that an empty histogram takes almost no memory.
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

    // The latency that the given fraction of requests did not exceed, to
    // within one bucket; 0 when the histogram is empty.
    auto percentile(double share) const -> millis;

    // Counts by bucket. The first holds latencies below 1 ms, the last those
    // beyond one minute. Empty when nothing was counted.
    auto counts() const -> std::vector<std::uint64_t>;

    // The number of latencies counted, and how many of them did not exceed
    // the given latency, to within one bucket.
    auto total() const -> std::uint64_t;
    auto count_within(millis latency) const -> std::uint64_t;

    // Restores what counts() returned. Returns false when the number of
    // counts does not match the number of buckets.
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
