#ifndef BRIARDRUM_ROUTING_FLOWS_HELD_PACKETS_HPP
#define BRIARDRUM_ROUTING_FLOWS_HELD_PACKETS_HPP

#include "core/core.hpp"
#include "wire/wire.hpp"

#include <functional>
#include <vector>

namespace briardrum
{

// Datagrams of flows that are being handed over, kept for the short time
// until the new owner has acknowledged. Bounded per flow and in all; what
// does not fit is dropped, and its caller retransmits.
class held_packets
{
public:
    static constexpr std::size_t per_flow_max = 8;
    static constexpr std::size_t total_max = 4096;

    // Keeps a copy; false when there is no room.
    auto hold(const flow_key& key, const envelope& message) -> bool;

    // Hands out and forgets what is held for a flow, in order of arrival.
    auto release(const flow_key& key,
                 const std::function<void(const envelope&)>& take) -> void;

    auto size() const -> std::size_t;

private:
    struct item
    {
        envelope message;
        byte_buffer datagram;
    };

    table<flow_key, std::vector<item>> held_;
    std::size_t total_ = 0;
};

} // namespace briardrum

#endif
