#ifndef BRIARDRUM_REQUESTS_COOKIES_COOKIE_SIGNER_HPP
#define BRIARDRUM_REQUESTS_COOKIES_COOKIE_SIGNER_HPP

#include "config/config.hpp"
#include "core/core.hpp"

#include <absl/status/statusor.h>
#include <array>

namespace briardrum
{

// What a cookie says: the owner that may run the flow's non-repeatable
// requests.
struct cookie_claims
{
    member_id owner = 0;
    incarnation life = 0;
    flow_generation generation = 0;

    auto operator==(const cookie_claims&) const -> bool = default;
};

// Makes and checks cookies: at most 40 bytes, the size of an Echo option,
// authenticated with a key of the configuration and bound to the flow.
class cookie_signer
{
public:
    // The first key signs, both verify; a key with id 0 is not used.
    explicit cookie_signer(const std::array<cookie_key, 2>& keys);

    // The cookie, or an empty buffer when there is no signing key.
    auto make(const cookie_claims& claims, const flow_key& flow) const
        -> byte_buffer;

    // The claims; error_kind::cookie_invalid for another flow, an unknown
    // key, a wrong length or a wrong authentication code.
    auto verify(byte_view cookie, const flow_key& flow) const
        -> absl::StatusOr<cookie_claims>;

private:
    std::array<cookie_key, 2> keys_;
};

} // namespace briardrum

#endif
