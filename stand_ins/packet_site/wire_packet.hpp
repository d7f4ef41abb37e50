#ifndef BRIARDRUM_STAND_INS_PACKET_SITE_WIRE_PACKET_HPP
#define BRIARDRUM_STAND_INS_PACKET_SITE_WIRE_PACKET_HPP

#include "core/core.hpp"

#include <optional>
#include <string>

namespace briardrum::stand_in
{

// A packet as callers and servers write and read it, apart from the product's
// own code for it.
struct wire_packet
{
    static constexpr std::uint8_t syn = 1;
    static constexpr std::uint8_t reset = 2;
    static constexpr std::uint8_t returned = 4;
    static constexpr std::uint8_t ack = 8;
    static constexpr std::uint8_t fin = 64;

    endpoint source;
    endpoint destination;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0;
    std::uint8_t flags = 0;
    std::string payload;

    auto has(std::uint8_t flag) const -> bool
    {
        return (flags & flag) != 0;
    }
};

auto write_wire_packet(const wire_packet& packet) -> byte_buffer;

// Nothing when the bytes are no packet, or their sum does not hold: somebody
// changed them on the way.
auto read_wire_packet(byte_view bytes) -> std::optional<wire_packet>;

} // namespace briardrum::stand_in

#endif
