#include "stand_ins/caller/caller_tally.hpp"

#include <algorithm>

namespace briardrum
{

auto caller_tally::add_sent() -> void
{
    ++sent_;
}

auto caller_tally::add_outcome(request_outcome outcome) -> void
{
    ++outcomes_.at(static_cast<std::size_t>(outcome));
}

auto caller_tally::add_confirmed() -> void
{
    ++confirmed_;
}

auto caller_tally::add_notification() -> void
{
    ++notifications_;
}

auto caller_tally::add_broken_flow() -> void
{
    ++broken_flows_;
}

auto caller_tally::add_latency(millis latency) -> void
{
    latencies_.push_back(latency);
}

auto caller_tally::is_good() const -> bool
{
    return count_of(request_outcome::wrong) == 0 &&
           count_of(request_outcome::missing) == 0;
}

auto caller_tally::line(std::string_view mode) -> std::string
{
    constexpr std::size_t median = 50;
    constexpr std::size_t tail = 99;
    return event("caller_summary")
        .with("mode", mode)
        .with("sent", sent_)
        .with("answered", count_of(request_outcome::answered))
        .with("wrong", count_of(request_outcome::wrong))
        .with("missing", count_of(request_outcome::missing))
        .with("refused_not_run", count_of(request_outcome::refused_not_run))
        .with("outcome_unknown", count_of(request_outcome::outcome_unknown))
        .with("broken_flows", broken_flows_)
        .with("confirmed", confirmed_)
        .with("notifications", notifications_)
        .with("p50_ms", latency_at(median))
        .with("p99_ms", latency_at(tail))
        .line();
}

auto caller_tally::count_of(request_outcome outcome) const -> std::uint64_t
{
    return outcomes_.at(static_cast<std::size_t>(outcome));
}

auto caller_tally::latency_at(std::size_t percent) -> std::uint64_t
{
    constexpr std::size_t whole = 100;
    if (latencies_.empty())
    {
        return 0;
    }
    std::sort(latencies_.begin(), latencies_.end());
    const auto n = (latencies_.size() - 1) * percent / whole;
    return static_cast<std::uint64_t>(latencies_[n].count);
}

} // namespace briardrum
