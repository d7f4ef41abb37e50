#ifndef BRIARDRUM_REPORT_METRICS_SERVICE_COUNTS_HPP
#define BRIARDRUM_REPORT_METRICS_SERVICE_COUNTS_HPP

#include "report/metrics/latency_histogram.hpp"
#include "report/metrics/request_result.hpp"

#include <array>

namespace briardrum
{

// Request counts of one service over one interval, or a sum of such counts.
struct service_counts
{
    // Requests by urgency and result.
    std::array<std::array<std::uint64_t, request_result_count>, urgency_count>
        results{};
    std::uint64_t broken_flows = 0;
    // Latencies of answered requests, including late ones.
    latency_histogram latency;

    auto add(urgency level, request_result result, millis latency) -> void;
    auto merge(const service_counts& other) -> void;

    auto count(request_result result) const -> std::uint64_t;
    auto count(urgency level, request_result result) const -> std::uint64_t;
    auto total() const -> std::uint64_t;
    auto bad() const -> std::uint64_t;
    // Requests that a server answered, good or late.
    auto answered() const -> std::uint64_t;
};

} // namespace briardrum

#endif
