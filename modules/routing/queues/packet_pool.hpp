#ifndef BRIARDRUM_ROUTING_QUEUES_PACKET_POOL_HPP
#define BRIARDRUM_ROUTING_QUEUES_PACKET_POOL_HPP

#include "core/core.hpp"
#include "wire/coap/coap_view.hpp"

#include <array>
#include <vector>

namespace briardrum
{

// Index of a packet in its pool.
using packet_index = std::uint32_t;

constexpr packet_index no_packet = ~packet_index{0};

// A caller's datagram that waits to be forwarded.
struct queued_packet
{
    endpoint caller;
    endpoint service_address;
    millis queued_at;
    packet_index next = no_packet;
    std::uint16_t size = 0;
    std::array<std::uint8_t, coap_datagram_max> bytes{};

    auto datagram() const -> byte_view
    {
        return {bytes.data(), size};
    }
};

// A fixed number of packets, allocated once. The packet released last is
// allocated first, so that a short queue stays in the CPU cache.
class packet_pool
{
public:
    explicit packet_pool(std::size_t packets);

    // Returns a packet to fill, or no_packet if all are in use.
    auto allocate() -> packet_index;
    auto release(packet_index index) -> void;

    auto at(packet_index index) -> queued_packet&
    {
        return packets_[index];
    }

    auto size() const -> std::size_t;

private:
    std::vector<queued_packet> packets_;
    packet_index first_free_ = 0;
};

} // namespace briardrum

#endif
