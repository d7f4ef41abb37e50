#ifndef BRIARDRUM_WIRE_FRAMING_FRAME_READER_HPP
#define BRIARDRUM_WIRE_FRAMING_FRAME_READER_HPP

#include "core/core.hpp"

#include <absl/status/statusor.h>
#include <optional>

namespace briardrum
{

// Largest content of a frame in bytes. Must exceed the largest configuration
// value.
constexpr std::size_t frame_bytes_max = std::size_t{2} * 1024 * 1024;

// Size of the frame header: the length of the content in network byte order.
constexpr std::size_t frame_header_bytes = 4;

// Appends a frame with this content to out. Returns error_kind::oversize or,
// for empty content, error_kind::invalid_argument, and then leaves out
// unchanged.
auto append_frame(byte_view content, byte_buffer& out) -> absl::Status;

// Splits the byte stream of one TCP connection into frames. Call feed() with
// the received bytes, then next() until it returns no frame:
//
//     reader.feed(bytes);
//     for (auto it = reader.next(); it.ok() && *it; it = reader.next())
//         handle(**it);
//
// After an error the connection must be closed: every later call of next()
// returns the same error.
class frame_reader
{
public:
    // Appends a copy of the bytes to the buffered input.
    auto feed(byte_view bytes) -> void;

    // Returns the content of the next complete frame, valid until the next
    // feed(), or std::nullopt if more bytes are needed. Returns
    // error_kind::oversize for a frame larger than frame_bytes_max and
    // error_kind::malformed for an empty frame.
    auto next() -> absl::StatusOr<std::optional<byte_view>>;

private:
    byte_buffer bytes_;
    // Number of bytes at the front that were already returned as frames.
    std::size_t consumed_ = 0;
    absl::Status error_;
};

} // namespace briardrum

#endif
