#ifndef BRIARDRUM_WIRE_CODEC_SCHEMA_CHECK_HPP
#define BRIARDRUM_WIRE_CODEC_SCHEMA_CHECK_HPP

#include "core/core.hpp"

#include <string_view>

namespace briardrum
{

// Checks the FlatBuffers file identifier of an encoded message, whose last
// letter is the version of the schema. error_kind::wrong_version when only
// that letter differs, error_kind::malformed when more does.
auto check_identifier(byte_view bytes, std::string_view identifier)
    -> absl::Status;

} // namespace briardrum

#endif
