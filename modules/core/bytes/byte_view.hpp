#ifndef BRIARDRUM_CORE_BYTES_BYTE_VIEW_HPP
#define BRIARDRUM_CORE_BYTES_BYTE_VIEW_HPP

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace briardrum
{

// Non-owning view of bytes. As a parameter it is valid only for the duration of
// the call.
using byte_view = std::span<const std::uint8_t>;

// Owning byte buffer.
using byte_buffer = std::vector<std::uint8_t>;

inline auto to_buffer(byte_view bytes) -> byte_buffer
{
    return {bytes.begin(), bytes.end()};
}

inline auto as_bytes(std::string_view text) -> byte_view
{
    return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

} // namespace briardrum

#endif
