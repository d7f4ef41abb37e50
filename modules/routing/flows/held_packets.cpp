#include "routing/flows/held_packets.hpp"

#include <utility>

namespace briardrum
{

auto held_packets::hold(const flow_key& key, const envelope& message) -> bool
{
    if (total_ >= total_max)
    {
        return false;
    }
    auto& items = held_.insert(key);
    if (items.size() >= per_flow_max)
    {
        return false;
    }
    items.push_back({message, to_buffer(message.datagram)});
    ++total_;
    return true;
}

auto held_packets::release(const flow_key& key,
                           const std::function<void(const envelope&)>& take)
    -> void
{
    auto* found = held_.find(key);
    if (found == nullptr)
    {
        return;
    }
    const auto items = std::move(*found);
    held_.erase(key);
    total_ -= items.size();
    for (const auto& it : items)
    {
        auto message = it.message;
        message.datagram = it.datagram;
        take(message);
    }
}

auto held_packets::size() const -> std::size_t
{
    return total_;
}

} // namespace briardrum
