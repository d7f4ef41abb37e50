#ifndef BRIARDRUM_REQUESTS_LIMITS_FAIR_QUEUE_HPP
#define BRIARDRUM_REQUESTS_LIMITS_FAIR_QUEUE_HPP

#include "wire/wire.hpp"

#include <deque>
#include <set>
#include <unordered_map>

namespace briardrum
{

// Waiting requests, first in, first out for each caller and round robin between
// callers.
class fair_queue
{
public:
    auto push(const request_id& id) -> void;

    // Puts a request that was queued before at the front of its caller's queue.
    auto push_front(const request_id& id) -> void;

    // Removes and returns the first request of the next caller. The queue must
    // not be empty.
    auto pop() -> request_id;

    // Removes a request, which must be in the queue.
    auto erase(const request_id& id) -> void;

    auto empty() const -> bool;
    auto size() const -> std::size_t;
    auto size(const endpoint& caller) const -> std::size_t;

    // Length of the longest caller queue, and the newest request in it.
    auto longest() const -> std::size_t;
    auto newest_of_longest() const -> request_id;

    // Upper bound of the requests that run before a new request of this caller.
    auto ahead_of(const endpoint& caller) const -> std::size_t;

private:
    using caller_queue = std::deque<request_id>;

    auto queue_of(const endpoint& caller) -> caller_queue&;
    auto update_length(const endpoint& caller, std::size_t old_length,
                       std::size_t new_length) -> void;

    std::unordered_map<endpoint, caller_queue> callers_;
    std::deque<endpoint> round_robin_;
    std::set<std::pair<std::size_t, endpoint>> by_length_;
    std::size_t size_ = 0;
};

} // namespace briardrum

#endif
