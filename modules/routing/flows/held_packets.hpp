#ifndef BRIARDRUM_ROUTING_FLOWS_HELD_PACKETS_HPP
#define BRIARDRUM_ROUTING_FLOWS_HELD_PACKETS_HPP

#include "core/core.hpp"

#include <functional>
#include <utility>
#include <vector>

namespace briardrum
{

// Buffers packets of flows whose next owner is not known yet. The buffer is
// bounded per flow and in total; packets that do not fit are dropped, and their
// senders retransmit.
//
// Message is a packet type with a byte_view member named datagram, whose bytes
// are copied.
template <typename Message>
class held_packets
{
public:
    static constexpr std::size_t per_flow_max = 8;
    static constexpr std::size_t total_max = 4096;

    // Stores a copy of the packet. Returns false if there is no space.
    auto hold(const flow_key& key, const Message& message) -> bool
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

    // Passes the held packets of a flow to take, in order of arrival, and
    // removes them.
    auto release(const flow_key& key,
                 const std::function<void(const Message&)>& take) -> void
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

    auto size() const -> std::size_t
    {
        return total_;
    }

private:
    struct item
    {
        Message message;
        byte_buffer datagram;
    };

    table<flow_key, std::vector<item>> held_;
    std::size_t total_ = 0;
};

} // namespace briardrum

#endif
