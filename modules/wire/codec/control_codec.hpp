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

// Longest time for which the record of a finished request may be kept on.
constexpr millis request_remaining_max = minutes(60);

// The message as the content of one frame. Times that are over are sent as 0.
auto encode_control(const control_message& message) -> byte_buffer;

// Reads the content of a frame. error_kind::wrong_version for another version
// of the schema; error_kind::malformed for a number or size out of range, an
// unknown kind of message, and content that decodes to more than was sent.
auto decode_control(byte_view bytes) -> absl::StatusOr<control_message>;

} // namespace briardrum

#endif
