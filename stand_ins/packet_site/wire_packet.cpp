#include "stand_ins/packet_site/wire_packet.hpp"

#include "wire/bytes/big_endian.hpp"

#include <xxhash.h>

namespace briardrum::stand_in
{

namespace
{

constexpr std::size_t head_bytes = 36;
constexpr std::size_t flags_at = 10;
constexpr std::size_t spare_at = 11;
constexpr std::size_t spare_bytes = 5;
constexpr std::size_t sum_at = 28;
constexpr std::uint64_t sum_key = 0x5eed;

// Over everything but the sum itself, what processes of the system may write,
// and the flag of a returned packet.
auto sum_of(byte_buffer bytes) -> std::uint32_t
{
    bytes[flags_at] &= static_cast<std::uint8_t>(~wire_packet::returned);
    for (std::size_t n = 0; n < spare_bytes; ++n)
    {
        bytes[spare_at + n] = 0;
    }
    for (std::size_t n = sum_at; n < head_bytes; ++n)
    {
        bytes[n] = 0;
    }
    return static_cast<std::uint32_t>(
        XXH3_64bits_withSeed(bytes.data(), bytes.size(), sum_key));
}

auto put_sum(byte_buffer& bytes) -> void
{
    const auto sum = sum_of(bytes);
    for (std::size_t n = 0; n < 4; ++n)
    {
        bytes[sum_at + n] = static_cast<std::uint8_t>(sum >> (24U - 8U * n));
    }
}

} // namespace

auto write_wire_packet(const wire_packet& packet) -> byte_buffer
{
    byte_buffer out;
    put_u16(static_cast<std::uint16_t>(packet.payload.size()), out);
    put_u32(packet.sequence, out);
    put_u32(packet.acknowledged, out);
    out.push_back(packet.flags);
    out.insert(out.end(), spare_bytes, 0);
    put_u32(packet.source.address, out);
    put_u16(packet.source.port, out);
    put_u16(packet.destination.port, out);
    put_u32(packet.destination.address, out);
    put_u32(0, out);
    put_u32(0, out);
    out.insert(out.end(), packet.payload.begin(), packet.payload.end());
    put_sum(out);
    return out;
}

auto read_wire_packet(byte_view bytes) -> std::optional<wire_packet>
{
    if (bytes.size() < head_bytes ||
        bytes.size() != head_bytes + get_u16(bytes, 0))
    {
        return std::nullopt;
    }
    wire_packet out;
    out.sequence = get_u32(bytes, 2);
    out.acknowledged = get_u32(bytes, 6);
    out.flags = bytes[flags_at];
    out.source = {get_u32(bytes, 16), get_u16(bytes, 20)};
    out.destination = {get_u32(bytes, 24), get_u16(bytes, 22)};
    out.payload.assign(bytes.begin() + head_bytes, bytes.end());
    const auto own_reset = out.has(wire_packet::reset) && out.payload.empty() &&
                           get_u32(bytes, sum_at) == 0;
    if (!own_reset && get_u32(bytes, sum_at) != sum_of(to_buffer(bytes)))
    {
        return std::nullopt;
    }
    return out;
}

} // namespace briardrum::stand_in
