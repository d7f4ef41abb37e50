#ifndef BRIARDRUM_REQUESTS_LIMITS_URGENCY_QUEUE_HPP
#define BRIARDRUM_REQUESTS_LIMITS_URGENCY_QUEUE_HPP

#include "requests/limits/fair_queue.hpp"

#include "config/config.hpp"

#include <array>
#include <optional>

namespace briardrum
{

// The waiting requests of one agent. More urgent requests go first, but each
// urgency is guaranteed a share of dispatches and a quota of the queue, so that
// a flood in one urgency cannot starve the others. Within one urgency, callers
// are served round robin.
class urgency_queue
{
public:
    // Sets the capacity in requests, over all urgencies.
    auto set_limit(std::size_t limit) -> void;

    auto is_full() const -> bool;
    auto size() const -> std::size_t;
    auto size(urgency level) const -> std::size_t;

    // Call when the queue is full. Returns the waiting request to evict for a
    // new one, or none if the new one has to be refused.
    auto victim_for(urgency level, const endpoint& caller) const
        -> std::optional<request_id>;

    auto push(urgency level, const request_id& id) -> void;

    // Puts a request that was queued before at the front of its caller's queue.
    auto push_front(urgency level, const request_id& id) -> void;

    // Removes and returns the next request to dispatch. The queue must not be
    // empty.
    auto pop() -> request_id;

    auto erase(urgency level, const request_id& id) -> void;

    // Upper bound of the requests that run before a new request.
    auto ahead_of(urgency level, const endpoint& caller) const -> std::size_t;

private:
    auto at(urgency level) -> fair_queue&;
    auto at(urgency level) const -> const fair_queue&;
    auto quota_of(std::size_t level) const -> std::size_t;
    auto most_over_quota() const -> std::size_t;
    auto next_level() -> std::size_t;

    std::array<fair_queue, urgency_count> levels_;
    // Guaranteed dispatches not yet used by each urgency, in percent of one
    // dispatch.
    std::array<std::uint32_t, urgency_count> credit_{};
    std::size_t limit_ = 200;
};

} // namespace briardrum

#endif
