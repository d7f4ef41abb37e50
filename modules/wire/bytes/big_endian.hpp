#ifndef BRIARDRUM_WIRE_BYTES_BIG_ENDIAN_HPP
#define BRIARDRUM_WIRE_BYTES_BIG_ENDIAN_HPP

#include "core/core.hpp"

namespace briardrum
{

// Reads and appends integers in network byte order. The read functions take the
// offset of the first byte; the caller must have checked the length.
inline auto get_u16(byte_view bytes, std::size_t at) -> std::uint16_t
{
    return static_cast<std::uint16_t>((bytes[at] << 8U) | bytes[at + 1]);
}

inline auto get_u32(byte_view bytes, std::size_t at) -> std::uint32_t
{
    return (std::uint32_t{get_u16(bytes, at)} << 16U) | get_u16(bytes, at + 2);
}

inline auto put_u16(std::uint16_t value, byte_buffer& out) -> void
{
    out.push_back(static_cast<std::uint8_t>(value >> 8U));
    out.push_back(static_cast<std::uint8_t>(value & 0xffU));
}

inline auto put_u32(std::uint32_t value, byte_buffer& out) -> void
{
    put_u16(static_cast<std::uint16_t>(value >> 16U), out);
    put_u16(static_cast<std::uint16_t>(value & 0xffffU), out);
}

} // namespace briardrum

#endif
