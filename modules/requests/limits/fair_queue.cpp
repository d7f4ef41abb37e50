#include "requests/limits/fair_queue.hpp"

#include <algorithm>

namespace briardrum
{

auto fair_queue::push(const request_id& id) -> void
{
    const auto& caller = id.flow.caller;
    auto& requests = queue_of(caller);
    requests.push_back(id);
    update_length(caller, requests.size() - 1, requests.size());
}

auto fair_queue::push_front(const request_id& id) -> void
{
    const auto& caller = id.flow.caller;
    auto& requests = queue_of(caller);
    requests.push_front(id);
    update_length(caller, requests.size() - 1, requests.size());
}

auto fair_queue::pop() -> request_id
{
    // The caller popped from an empty queue.
    BRIARDRUM_INVARIANT(!round_robin_.empty());
    const auto caller = round_robin_.front();
    round_robin_.pop_front();
    round_robin_.push_back(caller);
    const auto id = callers_.at(caller).front();
    erase(id);
    return id;
}

auto fair_queue::erase(const request_id& id) -> void
{
    const auto caller = id.flow.caller;
    const auto entry = callers_.find(caller);
    // The caller named a request that is not in this queue.
    BRIARDRUM_INVARIANT(entry != callers_.end());
    auto& requests = entry->second;
    // Nearly always the first one, because requests expire in order of arrival.
    const auto it = std::find(requests.begin(), requests.end(), id);
    BRIARDRUM_INVARIANT(it != requests.end());
    requests.erase(it);
    update_length(caller, requests.size() + 1, requests.size());
    if (requests.empty())
    {
        callers_.erase(entry);
        round_robin_.erase(
            std::find(round_robin_.begin(), round_robin_.end(), caller));
    }
}

auto fair_queue::empty() const -> bool
{
    return size_ == 0;
}

auto fair_queue::size() const -> std::size_t
{
    return size_;
}

auto fair_queue::size(const endpoint& caller) const -> std::size_t
{
    const auto it = callers_.find(caller);
    return it == callers_.end() ? 0 : it->second.size();
}

auto fair_queue::longest() const -> std::size_t
{
    return by_length_.empty() ? 0 : by_length_.rbegin()->first;
}

auto fair_queue::newest_of_longest() const -> request_id
{
    // The caller called this on an empty queue.
    BRIARDRUM_INVARIANT(!by_length_.empty());
    return callers_.at(by_length_.rbegin()->second).back();
}

auto fair_queue::ahead_of(const endpoint& caller) const -> std::size_t
{
    const auto rounds = size(caller) + 1;
    return std::min(size_, rounds * (callers_.size() + 1) - 1);
}

auto fair_queue::queue_of(const endpoint& caller) -> caller_queue&
{
    const auto [it, added] = callers_.try_emplace(caller);
    if (added)
    {
        round_robin_.push_back(caller);
    }
    return it->second;
}

auto fair_queue::update_length(const endpoint& caller, std::size_t old_length,
                               std::size_t new_length) -> void
{
    by_length_.erase({old_length, caller});
    if (new_length > 0)
    {
        by_length_.insert({new_length, caller});
    }
    size_ = size_ + new_length - old_length;
}

} // namespace briardrum
