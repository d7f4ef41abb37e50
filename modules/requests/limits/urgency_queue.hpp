#ifndef BRIARDRUM_REQUESTS_LIMITS_URGENCY_QUEUE_HPP
#define BRIARDRUM_REQUESTS_LIMITS_URGENCY_QUEUE_HPP

#include "requests/limits/fair_queue.hpp"

#include "config/config.hpp"

#include <array>
#include <optional>

namespace briardrum
{

// The requests that wait at one agent: the more urgent go first, yet each
// urgency has a guaranteed share of dispatches and of room, so that no flood
// starves the rest; within one urgency callers take turns.
class urgency_queue
{
public:
    // Room in requests, over all urgencies.
    auto set_limit(std::size_t limit) -> void;

    auto is_full() const -> bool;
    auto size() const -> std::size_t;
    auto size(urgency level) const -> std::size_t;

    // When full: the waiting request that gives way to a newcomer, or none
    // when the newcomer itself is to be refused.
    auto victim_for(urgency level, const endpoint& caller) const
        -> std::optional<request_id>;

    auto push(urgency level, const request_id& id) -> void;

    // A request that waited before and goes first among its caller's.
    auto push_front(urgency level, const request_id& id) -> void;

    // The next to run; the queue must not be empty.
    auto pop() -> request_id;

    auto erase(urgency level, const request_id& id) -> void;

    // How many requests run before a newcomer, at most.
    auto ahead_of(urgency level, const endpoint& caller) const -> std::size_t;

private:
    auto at(urgency level) -> fair_queue&;
    auto at(urgency level) const -> const fair_queue&;
    auto quota_of(std::size_t level) const -> std::size_t;
    auto most_over_quota() const -> std::size_t;
    auto next_level() -> std::size_t;

    std::array<fair_queue, urgency_count> levels_;
    // Dispatches owed to each urgency, in percent of one.
    std::array<std::uint32_t, urgency_count> credit_{};
    std::size_t limit_ = 200;
};

} // namespace briardrum

#endif
