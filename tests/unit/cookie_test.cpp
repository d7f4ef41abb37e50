#include "requests/requests.hpp"

#include <doctest/doctest.h>
#include <sodium.h>

using namespace briardrum;

namespace
{

auto key(std::uint8_t id) -> cookie_key
{
    cookie_key out;
    out.id = id;
    out.secret.fill(id);
    return out;
}

const flow_key flow{{0x0a000001, 4000}, 7};
const cookie_claims claims{0x1122334455667788, 42, 3};

} // namespace

TEST_CASE("a verified cookie returns its claims and fits in an Echo option")
{
    const cookie_signer signer({key(1), key(2)});
    const auto cookie = signer.make(claims, flow);
    CHECK(cookie.size() <= 40);
    const auto read = signer.verify(cookie, flow);
    REQUIRE(read.ok());
    CHECK(*read == claims);
}

TEST_CASE("a cookie does not verify for another caller or service")
{
    const cookie_signer signer({key(1), key(2)});
    const auto cookie = signer.make(claims, flow);
    auto other_port = flow;
    ++other_port.caller.port;
    auto other_address = flow;
    ++other_address.caller.address;
    auto other_service = flow;
    ++other_service.service;
    for (const auto& other : {other_port, other_address, other_service})
    {
        CHECK(error_kind_of(signer.verify(cookie, other).status()) ==
              error_kind::cookie_invalid);
    }
}

TEST_CASE("a cookie that is altered, truncated or extended does not verify")
{
    const cookie_signer signer({key(1), key(2)});
    const auto cookie = signer.make(claims, flow);
    for (std::size_t n = 0; n < cookie.size() * 8; ++n)
    {
        CAPTURE(n);
        auto changed = cookie;
        changed[n / 8] ^= static_cast<std::uint8_t>(1U << (n % 8));
        CHECK_FALSE(signer.verify(changed, flow).ok());
    }
    for (std::size_t n = 0; n < cookie.size(); ++n)
    {
        CHECK_FALSE(signer.verify(byte_view(cookie).first(n), flow).ok());
    }
    auto longer = cookie;
    longer.push_back(0);
    CHECK_FALSE(signer.verify(longer, flow).ok());
}

TEST_CASE("key rotation: the first key signs, both verify, older keys do not")
{
    const auto before = cookie_signer({key(1), key(0)}).make(claims, flow);
    const cookie_signer during({key(2), key(1)});
    CHECK(during.verify(before, flow).ok());
    const auto next = during.make(claims, flow);
    CHECK(next.front() == 2);
    const cookie_signer after({key(3), key(2)});
    CHECK(after.verify(next, flow).ok());
    CHECK_FALSE(after.verify(before, flow).ok());
}

TEST_CASE("without a signing key no cookie is made and none verifies")
{
    const cookie_signer none({key(0), key(0)});
    CHECK(none.make(claims, flow).empty());
    // A cookie that names key 0, with the code computed from its all-zero
    // secret.
    const cookie_key empty{};
    byte_buffer forged = cookie_signer({key(1), empty}).make(claims, flow);
    forged.front() = 0;
    const byte_view claimed = byte_view(forged).first(forged.size() - 16);
    auto message = to_buffer(claimed);
    const std::array<std::uint8_t, 10> flow_bytes = {
        0x0a, 0, 0, 1, 4000 >> 8, 4000 & 0xff, 0, 0, 0, 7};
    message.insert(message.end(), flow_bytes.begin(), flow_bytes.end());
    crypto_generichash(forged.data() + claimed.size(), 16, message.data(),
                       message.size(), empty.secret.data(),
                       empty.secret.size());
    CHECK_FALSE(cookie_signer({empty, empty}).verify(forged, flow).ok());
    // Control: the same forgery verifies if the key is configured.
    auto known = cookie_signer({key(1), empty}).make(claims, flow);
    message.front() = 1;
    crypto_generichash(known.data() + claimed.size(), 16, message.data(),
                       message.size(), key(1).secret.data(), 32);
    CHECK(cookie_signer({key(1), empty}).verify(known, flow).ok());
}
