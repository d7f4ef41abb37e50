#ifndef BRIARDRUM_REQUESTS_COOKIES_COOKIE_SIGNER_HPP
#define BRIARDRUM_REQUESTS_COOKIES_COOKIE_SIGNER_HPP

#include "config/config.hpp"
#include "core/core.hpp"

#include <absl/status/statusor.h>
#include <array>

namespace briardrum
{

// The content of a cookie: the owner that may run the flow's non-repeatable
// requests.
struct cookie_claims
{
    member_id owner = 0;
    incarnation_number life = 0;
    flow_generation generation = 0;

    auto operator==(const cookie_claims&) const -> bool = default;
};

// Creates and verifies cookies. A cookie fits into an Echo option, which holds
// up to 40 bytes, and carries a message authentication code that is computed
// with a key from the configuration and covers the flow.
class cookie_signer
{
public:
    // The first key signs and both verify. A key with id 0 is not used.
    explicit cookie_signer(const std::array<cookie_key, 2>& keys);

    // Returns the cookie, or an empty buffer if there is no signing key.
    auto make(const cookie_claims& claims, const flow_key& flow) const
        -> byte_buffer;

    // Returns the claims, or error_kind::cookie_invalid if the cookie has the
    // wrong length, was issued for another flow, names an unknown key, or
    // carries a wrong authentication code.
    auto verify(byte_view cookie, const flow_key& flow) const
        -> absl::StatusOr<cookie_claims>;

private:
    std::array<cookie_key, 2> keys_;
};

} // namespace briardrum

#endif
