#ifndef BRIARDRUM_REPORT_METRICS_LATENCY_HISTOGRAM_HPP
#define BRIARDRUM_REPORT_METRICS_LATENCY_HISTOGRAM_HPP

#include "core/core.hpp"

#include <boost/histogram.hpp>
#include <span>
#include <vector>

namespace briardrum
{

// Latencies counted in logarithmic steps from 1 ms to a minute, so that
// histograms of many processes add up and still give percentiles.
class latency_histogram
{
public:
    latency_histogram();

    auto add(millis latency) -> void;
    auto merge(const latency_histogram& other) -> void;

    // The latency that this share of requests did not exceed, to within one
    // step; 0 when nothing was counted.
    auto percentile(double share) const -> millis;

    // Counts by step, the first below 1 ms and the last beyond a minute.
    auto counts() const -> std::vector<std::uint64_t>;

    // Takes counts back; false when there are not as many as steps.
    auto set_counts(std::span<const std::uint64_t> counts) -> bool;

private:
    using axis =
        boost::histogram::axis::regular<double,
                                        boost::histogram::axis::transform::log>;
    using storage = boost::histogram::dense_storage<std::uint64_t>;

    boost::histogram::histogram<std::tuple<axis>, storage> histogram_;
};

} // namespace briardrum

#endif
