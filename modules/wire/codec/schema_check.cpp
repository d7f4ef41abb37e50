#include "wire/codec/schema_check.hpp"

#include <algorithm>

namespace briardrum
{

auto check_identifier(byte_view bytes, std::string_view identifier)
    -> absl::Status
{
    // The identifier follows the offset of the root table.
    constexpr std::size_t identifier_offset = 4;
    const auto expected = as_bytes(identifier);
    if (bytes.size() < identifier_offset + expected.size())
    {
        return make_error(error_kind::malformed,
                          "message is too short for a schema identifier");
    }
    const auto found = bytes.subspan(identifier_offset, expected.size());
    const auto magic_bytes = expected.size() - 1;
    if (!std::ranges::equal(found.first(magic_bytes),
                            expected.first(magic_bytes)))
    {
        return make_error(error_kind::malformed, "unknown schema identifier");
    }
    if (found.back() != expected.back())
    {
        return make_error(error_kind::wrong_version,
                          "message has an unsupported schema version");
    }
    return absl::OkStatus();
}

} // namespace briardrum
