#include "requests/cookies/cookie_signer.hpp"

#include <algorithm>
#include <sodium.h>

namespace briardrum
{

namespace
{

// Layout: key id, owner, incarnation, generation (all big endian),
// authentication code.
constexpr std::size_t claims_size = 1 + 8 + 8 + 4;
constexpr std::size_t code_size = 16;
constexpr std::size_t cookie_size = claims_size + code_size;
// Maximum length of an Echo option.
constexpr std::size_t echo_size_max = 40;
static_assert(cookie_size <= echo_size_max);

using code = std::array<std::uint8_t, code_size>;

auto append_number(byte_buffer& out, std::uint64_t value, unsigned bytes)
    -> void
{
    for (auto n = bytes; n > 0; --n)
    {
        out.push_back(static_cast<std::uint8_t>(value >> ((n - 1) * 8)));
    }
}

auto take_number(byte_view& from, unsigned bytes) -> std::uint64_t
{
    std::uint64_t value = 0;
    for (const auto octet : from.first(bytes))
    {
        value = (value << 8U) | octet;
    }
    from = from.subspan(bytes);
    return value;
}

// Computes the authentication code over the encoded claims and the flow.
auto code_of(const cookie_key& key, byte_view claims, const flow_key& flow)
    -> code
{
    auto message = to_buffer(claims);
    append_number(message, flow.caller.address, 4);
    append_number(message, flow.caller.port, 2);
    append_number(message, flow.service, 4);
    code out{};
    crypto_generichash(out.data(), out.size(), message.data(), message.size(),
                       key.secret.data(), key.secret.size());
    return out;
}

auto invalid(const char* reason) -> absl::Status
{
    return make_error(error_kind::cookie_invalid, reason);
}

} // namespace

cookie_signer::cookie_signer(const std::array<cookie_key, 2>& keys)
    : keys_(keys)
{
    // The process runs on a machine without a source of randomness that
    // libsodium can use.
    BRIARDRUM_INVARIANT(sodium_init() >= 0);
}

auto cookie_signer::make(const cookie_claims& claims,
                         const flow_key& flow) const -> byte_buffer
{
    const auto& key = keys_.front();
    if (key.id == 0)
    {
        return {};
    }
    byte_buffer out;
    out.reserve(cookie_size);
    append_number(out, key.id, 1);
    append_number(out, claims.owner, 8);
    append_number(out, claims.life, 8);
    append_number(out, claims.generation, 4);
    const auto authentication_code = code_of(key, out, flow);
    out.insert(out.end(), authentication_code.begin(),
               authentication_code.end());
    return out;
}

auto cookie_signer::verify(byte_view cookie, const flow_key& flow) const
    -> absl::StatusOr<cookie_claims>
{
    if (cookie.size() != cookie_size)
    {
        return invalid("the cookie has the wrong length");
    }
    const auto key = std::find_if(keys_.begin(), keys_.end(),
                                  [&](const cookie_key& candidate)
                                  {
                                      return candidate.id != 0 &&
                                             candidate.id == cookie.front();
                                  });
    if (key == keys_.end())
    {
        return invalid("the cookie names an unknown key");
    }
    const auto expected = code_of(*key, cookie.first(claims_size), flow);
    if (sodium_memcmp(expected.data(), cookie.data() + claims_size,
                      code_size) != 0)
    {
        return invalid("the authentication code of the cookie is wrong");
    }
    auto remaining = cookie.subspan(1);
    cookie_claims claims;
    claims.owner = take_number(remaining, 8);
    claims.life = take_number(remaining, 8);
    claims.generation = static_cast<flow_generation>(take_number(remaining, 4));
    return claims;
}

} // namespace briardrum
