#include "wire/codec/schema_check.hpp"

#include <algorithm>

namespace briardrum
{

auto check_identifier(byte_view bytes, std::string_view identifier)
    -> absl::Status
{
    // The identifier follows the offset of the root table.
    constexpr std::size_t identifier_at = 4;
    const auto expected = as_bytes(identifier);
    if (bytes.size() < identifier_at + expected.size())
    {
        return make_error(error_kind::malformed, "message too short");
    }
    const auto found = bytes.subspan(identifier_at, expected.size());
    const auto name_bytes = expected.size() - 1;
    if (!std::ranges::equal(found.first(name_bytes),
                            expected.first(name_bytes)))
    {
        return make_error(error_kind::malformed, "not one of our messages");
    }
    if (found.back() != expected.back())
    {
        return make_error(error_kind::wrong_version,
                          "message of another schema version");
    }
    return absl::OkStatus();
}

} // namespace briardrum
