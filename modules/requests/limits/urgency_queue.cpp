#include "requests/limits/urgency_queue.hpp"

#include <algorithm>

namespace briardrum
{

namespace
{

// Percentage of dispatches and of the capacity that is guaranteed to each
// urgency. The rest goes to the most urgent first.
constexpr std::array<std::uint32_t, urgency_count> guaranteed_percent = {40, 20,
                                                                         10};
constexpr std::uint32_t whole_percent = 100;

} // namespace

auto urgency_queue::set_limit(std::size_t limit) -> void
{
    limit_ = limit;
}

auto urgency_queue::is_full() const -> bool
{
    return size() >= limit_;
}

auto urgency_queue::size() const -> std::size_t
{
    std::size_t total = 0;
    for (const auto& level : levels_)
    {
        total += level.size();
    }
    return total;
}

auto urgency_queue::size(urgency level) const -> std::size_t
{
    return at(level).size();
}

auto urgency_queue::victim_for(urgency level, const endpoint& caller) const
    -> std::optional<request_id>
{
    const auto n = static_cast<std::size_t>(level);
    const auto over = most_over_quota();
    const auto over_quota = levels_.at(over).size() > quota_of(over);
    const auto within_quota = levels_.at(n).size() < quota_of(n);
    if (over_quota && over != n && (within_quota || over > n))
    {
        return levels_.at(over).newest_of_longest();
    }
    const auto& own = levels_.at(n);
    if (own.longest() > own.size(caller) + 1)
    {
        return own.newest_of_longest();
    }
    return std::nullopt;
}

auto urgency_queue::push(urgency level, const request_id& id) -> void
{
    at(level).push(id);
}

auto urgency_queue::push_front(urgency level, const request_id& id) -> void
{
    at(level).push_front(id);
}

auto urgency_queue::pop() -> request_id
{
    return levels_.at(next_level()).pop();
}

auto urgency_queue::erase(urgency level, const request_id& id) -> void
{
    at(level).erase(id);
}

auto urgency_queue::ahead_of(urgency level, const endpoint& caller) const
    -> std::size_t
{
    const auto n = static_cast<std::size_t>(level);
    std::size_t more_urgent = 0;
    for (std::size_t m = 0; m < n; ++m)
    {
        more_urgent += levels_.at(m).size();
    }
    const auto own = levels_.at(n).ahead_of(caller);
    // Upper bound that follows from the guaranteed share alone.
    const auto guaranteed = own * whole_percent / guaranteed_percent.at(n);
    return std::min(more_urgent + own, guaranteed);
}

auto urgency_queue::at(urgency level) -> fair_queue&
{
    return levels_.at(static_cast<std::size_t>(level));
}

auto urgency_queue::at(urgency level) const -> const fair_queue&
{
    return levels_.at(static_cast<std::size_t>(level));
}

auto urgency_queue::quota_of(std::size_t level) const -> std::size_t
{
    const auto quota = limit_ * guaranteed_percent.at(level) / whole_percent;
    return std::max<std::size_t>(quota, 1);
}

auto urgency_queue::most_over_quota() const -> std::size_t
{
    std::size_t found = 0;
    std::size_t most = 0;
    for (std::size_t n = 0; n < urgency_count; ++n)
    {
        const auto size = levels_.at(n).size();
        const auto over = size - std::min(size, quota_of(n));
        // In a tie, picks the least urgent.
        if (over > 0 && over >= most)
        {
            most = over;
            found = n;
        }
    }
    return found;
}

auto urgency_queue::next_level() -> std::size_t
{
    std::optional<std::size_t> first;
    std::optional<std::size_t> due_level;
    for (std::size_t n = 0; n < urgency_count; ++n)
    {
        if (levels_.at(n).empty())
        {
            credit_.at(n) = 0;
            continue;
        }
        first = first.value_or(n);
        credit_.at(n) += guaranteed_percent.at(n);
        const auto due = credit_.at(n) >= whole_percent;
        if (due && (!due_level || credit_.at(n) > credit_.at(*due_level)))
        {
            due_level = n;
        }
    }
    // The caller popped from an empty queue.
    BRIARDRUM_INVARIANT(first.has_value());
    const auto level = due_level.value_or(*first);
    credit_.at(level) -= std::min(credit_.at(level), whole_percent);
    return level;
}

} // namespace briardrum
