#include "report/metrics/service_counts.hpp"

namespace briardrum
{

auto service_counts::add(urgency level, request_result result,
                         millis request_latency) -> void
{
    ++results.at(static_cast<std::size_t>(level))
          .at(static_cast<std::size_t>(result));
    if (result == request_result::good || result == request_result::late)
    {
        latency.add(request_latency);
    }
}

auto service_counts::merge(const service_counts& other) -> void
{
    for (std::size_t level = 0; level < urgency_count; ++level)
    {
        for (std::size_t result = 0; result < request_result_count; ++result)
        {
            results.at(level).at(result) += other.results.at(level).at(result);
        }
    }
    broken_flows += other.broken_flows;
    latency.merge(other.latency);
}

auto service_counts::count(request_result result) const -> std::uint64_t
{
    std::uint64_t sum = 0;
    for (const auto& level : results)
    {
        sum += level.at(static_cast<std::size_t>(result));
    }
    return sum;
}

auto service_counts::count(urgency level, request_result result) const
    -> std::uint64_t
{
    return results.at(static_cast<std::size_t>(level))
        .at(static_cast<std::size_t>(result));
}

auto service_counts::total() const -> std::uint64_t
{
    std::uint64_t sum = 0;
    for (std::size_t result = 0; result < request_result_count; ++result)
    {
        sum += count(static_cast<request_result>(result));
    }
    return sum;
}

auto service_counts::bad() const -> std::uint64_t
{
    return total() - count(request_result::good);
}

auto service_counts::answered() const -> std::uint64_t
{
    return count(request_result::good) + count(request_result::late);
}

} // namespace briardrum
