#ifndef BRIARDRUM_WIRE_FRAMING_FRAME_READER_HPP
#define BRIARDRUM_WIRE_FRAMING_FRAME_READER_HPP

#include "core/core.hpp"

#include <absl/status/statusor.h>
#include <optional>

namespace briardrum
{

// Largest content of a frame: room for the largest configuration value.
constexpr std::size_t frame_bytes_max = std::size_t{2} * 1024 * 1024;

// Length of the content, in network byte order, before each frame.
constexpr std::size_t frame_header_bytes = 4;

// Appends a frame with this content to out; error_kind::oversize or, for an
// empty content, error_kind::invalid_argument leaves out as it was.
auto append_frame(byte_view content, byte_buffer& out) -> absl::Status;

// Cuts the bytes of one TCP connection into frames. Call feed() with what was
// read, then next() until it gives nothing:
//
//     reader.feed(bytes);
//     for (auto it = reader.next(); it.ok() && *it; it = reader.next())
//         handle(**it);
//
// After an error the connection must be closed: every later next() gives the
// same error.
class frame_reader
{
public:
    // Takes bytes in; they are copied.
    auto feed(byte_view bytes) -> void;

    // The content of the next whole frame, valid until the next feed();
    // nothing when more bytes are needed. error_kind::oversize for a frame
    // over frame_bytes_max, error_kind::malformed for an empty one.
    auto next() -> absl::StatusOr<std::optional<byte_view>>;

private:
    byte_buffer bytes_;
    // Bytes at the front that were given out already.
    std::size_t consumed_ = 0;
    absl::Status error_;
};

} // namespace briardrum

#endif
