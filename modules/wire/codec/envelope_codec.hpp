#ifndef BRIARDRUM_WIRE_CODEC_ENVELOPE_CODEC_HPP
#define BRIARDRUM_WIRE_CODEC_ENVELOPE_CODEC_HPP

#include "wire/messages/envelope.hpp"

#include <absl/status/statusor.h>

namespace briardrum
{

// Replaces the content of out with the encoded envelope. Does not allocate once
// out and the thread-local builder have grown to the largest envelope.
auto encode_envelope(const envelope& message, byte_buffer& out) -> void;

// Decodes an envelope. Its datagram is a view into the given bytes. Returns
// error_kind::wrong_version for another schema version, error_kind::oversize
// for a datagram larger than any result of edit_coap(), and
// error_kind::malformed for any other error.
auto decode_envelope(byte_view bytes) -> absl::StatusOr<envelope>;

} // namespace briardrum

#endif
