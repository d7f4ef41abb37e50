#ifndef BRIARDRUM_REQUESTS_LIMITS_FAIR_QUEUE_HPP
#define BRIARDRUM_REQUESTS_LIMITS_FAIR_QUEUE_HPP

#include "wire/wire.hpp"

#include <deque>
#include <set>
#include <unordered_map>

namespace briardrum
{

// Requests waiting in order of arrival for each caller; callers take turns.
class fair_queue
{
public:
    auto push(const request_id& id) -> void;

    // A request that waited before and goes first among its caller's.
    auto push_front(const request_id& id) -> void;

    // The next caller's first; the queue must not be empty.
    auto pop() -> request_id;

    // Takes out a request that must be in the queue.
    auto erase(const request_id& id) -> void;

    auto empty() const -> bool;
    auto size() const -> std::size_t;
    auto size(const endpoint& caller) const -> std::size_t;

    // Requests of the caller with the most, and the newest of these.
    auto longest() const -> std::size_t;
    auto newest_of_longest() const -> request_id;

    // How many requests run before one more of this caller, at most.
    auto ahead_of(const endpoint& caller) const -> std::size_t;

private:
    using caller_queue = std::deque<request_id>;

    auto queue_of(const endpoint& caller) -> caller_queue&;
    auto update_length(const endpoint& caller, std::size_t before,
                       std::size_t after) -> void;

    std::unordered_map<endpoint, caller_queue> callers_;
    std::deque<endpoint> round_robin_;
    std::set<std::pair<std::size_t, endpoint>> by_length_;
    std::size_t size_ = 0;
};

} // namespace briardrum

#endif
