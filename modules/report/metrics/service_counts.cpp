#include "report/metrics/service_counts.hpp"

namespace briardrum
{

auto service_counts::add(urgency level, request_end end, millis spent) -> void
{
    ++ends.at(static_cast<std::size_t>(level))
          .at(static_cast<std::size_t>(end));
    if (end == request_end::good || end == request_end::late)
    {
        latency.add(spent);
    }
}

auto service_counts::merge(const service_counts& other) -> void
{
    for (std::size_t level = 0; level < urgency_count; ++level)
    {
        for (std::size_t end = 0; end < request_end_count; ++end)
        {
            ends.at(level).at(end) += other.ends.at(level).at(end);
        }
    }
    broken_flows += other.broken_flows;
    latency.merge(other.latency);
}

auto service_counts::count(request_end end) const -> std::uint64_t
{
    std::uint64_t sum = 0;
    for (const auto& level : ends)
    {
        sum += level.at(static_cast<std::size_t>(end));
    }
    return sum;
}

auto service_counts::count(urgency level, request_end end) const
    -> std::uint64_t
{
    return ends.at(static_cast<std::size_t>(level))
        .at(static_cast<std::size_t>(end));
}

auto service_counts::total() const -> std::uint64_t
{
    std::uint64_t sum = 0;
    for (std::size_t end = 0; end < request_end_count; ++end)
    {
        sum += count(static_cast<request_end>(end));
    }
    return sum;
}

auto service_counts::bad() const -> std::uint64_t
{
    return total() - count(request_end::good);
}

auto service_counts::answered() const -> std::uint64_t
{
    return count(request_end::good) + count(request_end::late);
}

} // namespace briardrum
