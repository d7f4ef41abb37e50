#ifndef BRIARDRUM_WIRE_CODEC_ENVELOPE_CODEC_HPP
#define BRIARDRUM_WIRE_CODEC_ENVELOPE_CODEC_HPP

#include "wire/messages/envelope.hpp"

#include <absl/status/statusor.h>

namespace briardrum
{

// Replaces what out holds by the encoded envelope. Allocates nothing once
// out and the thread's builder have grown to the largest envelope.
auto encode_envelope(const envelope& message, byte_buffer& out) -> void;

// Reads an envelope whose datagram points into the given bytes.
// error_kind::wrong_version for another version of the schema,
// error_kind::oversize for a datagram that no edit_coap() gives,
// error_kind::malformed for anything else that is wrong.
auto decode_envelope(byte_view bytes) -> absl::StatusOr<envelope>;

} // namespace briardrum

#endif
