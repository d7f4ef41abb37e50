#include "tests/support/fuzz_inputs.hpp"
#include "wire/wire.hpp"

#include <doctest/doctest.h>

using namespace briardrum;

namespace
{

const byte_buffer datagram = {0x40, 1,   0,   1,   0xb6, 'l',
                              'o',  'o', 'k', 'u', 'p'};

auto make_envelope() -> envelope
{
    envelope message;
    message.kind = envelope_kind::answer;
    message.service = 7;
    message.target = 0x1122334455667788;
    message.target_incarnation = 99;
    message.caller = {0x7f000001, 40000};
    message.service_address = {0x7f000001, 5683};
    message.balancer = 12;
    message.from_agent = 13;
    message.hops = hop_limit;
    message.placed = true;
    message.saturation = 100;
    message.version = 1234567890123;
    message.datagram = datagram;
    return message;
}

auto encode(const envelope& message) -> byte_buffer
{
    byte_buffer out;
    encode_envelope(message, out);
    return out;
}

auto kind_of_decode(const byte_buffer& bytes) -> error_kind
{
    return error_kind_of(decode_envelope(bytes).status());
}

auto check_decode(byte_view bytes) -> void
{
    const auto message = decode_envelope(bytes);
    if (message.ok())
    {
        REQUIRE(is_subrange(message->datagram, bytes));
        REQUIRE(message->hops <= hop_limit);
        REQUIRE(message->saturation <= 100);
    }
}

} // namespace

TEST_CASE("an envelope survives encoding and decoding unchanged")
{
    const auto sent = make_envelope();
    const auto bytes = encode(sent);
    const auto got = decode_envelope(bytes);
    REQUIRE(got.ok());
    CHECK(got->kind == sent.kind);
    CHECK(got->service == sent.service);
    CHECK(got->target == sent.target);
    CHECK(got->target_incarnation == sent.target_incarnation);
    CHECK(got->caller == sent.caller);
    CHECK(got->service_address == sent.service_address);
    CHECK(got->balancer == sent.balancer);
    CHECK(got->from_agent == sent.from_agent);
    CHECK(got->hops == sent.hops);
    CHECK(got->placed == sent.placed);
    CHECK(got->saturation == sent.saturation);
    CHECK(got->version == sent.version);
    CHECK(to_buffer(got->datagram) == datagram);
    CHECK(is_subrange(got->datagram, bytes));
}

TEST_CASE("encoding reuses a buffer of sufficient capacity")
{
    byte_buffer out;
    const byte_buffer largest(coap_datagram_max + coap_edit_growth_max, 1);
    auto message = make_envelope();
    message.datagram = largest;
    encode_envelope(message, out);
    const auto* before = out.data();
    message.datagram = datagram;
    encode_envelope(message, out);
    CHECK(out.data() == before);
    CHECK(out == encode(make_envelope()));
}

TEST_CASE("invalid envelopes yield the matching error kind")
{
    auto bytes = encode(make_envelope());
    ++bytes[7];
    CHECK(kind_of_decode(bytes) == error_kind::wrong_version);
    --bytes[7];
    ++bytes[4];
    CHECK(kind_of_decode(bytes) == error_kind::malformed);
    CHECK(kind_of_decode({}) == error_kind::malformed);

    auto message = make_envelope();
    message.hops = hop_limit + 1;
    CHECK(kind_of_decode(encode(message)) == error_kind::malformed);
    message = make_envelope();
    message.saturation = 101;
    CHECK(kind_of_decode(encode(message)) == error_kind::malformed);
    message = make_envelope();
    message.kind = static_cast<envelope_kind>(2);
    CHECK(kind_of_decode(encode(message)) == error_kind::malformed);
    message = make_envelope();
    message.datagram = {};
    CHECK(kind_of_decode(encode(message)) == error_kind::malformed);
    const auto most = coap_datagram_max + coap_edit_growth_max;
    const byte_buffer large(most + 1, 1);
    message.datagram = large;
    CHECK(kind_of_decode(encode(message)) == error_kind::oversize);
    message.datagram = byte_view(large).first(most);
    CHECK(kind_of_decode(encode(message)) == error_kind::none);
}

TEST_CASE("truncated, corrupted and random envelopes are handled safely")
{
    const auto bytes = encode(make_envelope());
    for_each_truncation(bytes, check_decode);
    for_each_corruption(bytes, 51, check_decode);
    for_each_random(200, 52, check_decode);
}
