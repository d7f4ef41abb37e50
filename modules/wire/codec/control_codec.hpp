#ifndef BRIARDRUM_WIRE_CODEC_CONTROL_CODEC_HPP
#define BRIARDRUM_WIRE_CODEC_CONTROL_CODEC_HPP

#include "wire/messages/control_message.hpp"

#include <absl/status/statusor.h>

namespace briardrum
{

// Longest name of a member, data centre or service, in bytes.
constexpr std::size_t member_text_bytes_max = 255;

// Longest key and value of a configuration change, in bytes.
constexpr std::size_t configuration_key_bytes_max = 1024;
constexpr std::size_t configuration_value_bytes_max = std::size_t{1024} * 1024;

// Longest remaining time for which the record of a finished request may be
// kept.
constexpr millis request_remaining_max = minutes(60);

// Most data centres and services that a placement policy may name.
constexpr std::size_t policy_entries_max = 1024;

// Encodes a message as the content of one frame. Negative remaining times are
// encoded as 0.
auto encode_control(const control_message& message) -> byte_buffer;

// Decodes the content of a frame. Returns error_kind::wrong_version for another
// schema version; error_kind::malformed for a number or size out of range, a
// policy whose entries are not sorted or that has content without a revision,
// an unknown message type, or content that would decode to more than its
// length.
auto decode_control(byte_view bytes) -> absl::StatusOr<control_message>;

} // namespace briardrum

#endif
