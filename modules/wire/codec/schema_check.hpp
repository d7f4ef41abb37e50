#ifndef BRIARDRUM_WIRE_CODEC_SCHEMA_CHECK_HPP
#define BRIARDRUM_WIRE_CODEC_SCHEMA_CHECK_HPP

#include "core/core.hpp"

#include <string_view>

namespace briardrum
{

// Checks the FlatBuffers file identifier of an encoded message. Its last
// character is the schema version. Returns error_kind::wrong_version if only
// that character differs, otherwise error_kind::malformed.
auto check_identifier(byte_view bytes, std::string_view identifier)
    -> absl::Status;

} // namespace briardrum

#endif
