#include "tests/support/control_samples.hpp"
#include "tests/support/fuzz_inputs.hpp"
#include "wire/wire.hpp"

#include <algorithm>
#include <doctest/doctest.h>

using namespace briardrum;

namespace
{

auto kind_of_decode(const control_body& body) -> error_kind
{
    return error_kind_of(decode_control(encode_control({1, 2, body})).status());
}

auto check_decode(byte_view bytes) -> void
{
    const auto message = decode_control(bytes);
    if (message.ok())
    {
        // A message that was accepted can be encoded and decoded again.
        REQUIRE(decode_control(encode_control(*message)).ok());
    }
}

// Appends a little-endian number, for messages that no valid encoder produces.
auto put(byte_buffer& out, std::uint32_t value, std::size_t bytes) -> void
{
    for (std::size_t n = 0; n < bytes; ++n)
    {
        out.push_back(static_cast<std::uint8_t>(value >> (8U * n)));
    }
}

} // namespace

TEST_CASE("every control message survives encoding and decoding unchanged")
{
    const auto samples = control_samples();
    REQUIRE(samples.size() == std::variant_size_v<control_body>);
    for (const auto& sent : samples)
    {
        CAPTURE(sent.body.index());
        const auto got = decode_control(encode_control(sent));
        REQUIRE(got.ok());
        CHECK(*got == sent);
    }
}

TEST_CASE("messages with default values survive encoding and decoding")
{
    const control_message gossip{0, 0, gossip_message{}};
    const control_message heartbeat{0, 0, heartbeat_message{}};
    for (const auto& sent : {gossip, heartbeat})
    {
        const auto got = decode_control(encode_control(sent));
        REQUIRE(got.ok());
        CHECK(*got == sent);
    }
}

TEST_CASE("another schema version differs from a malformed message")
{
    auto bytes = encode_control(control_samples().front());
    ++bytes[7];
    CHECK(error_kind_of(decode_control(bytes).status()) ==
          error_kind::wrong_version);
    ++bytes[5];
    CHECK(error_kind_of(decode_control(bytes).status()) ==
          error_kind::malformed);
    CHECK(error_kind_of(decode_control({}).status()) == error_kind::malformed);
}

TEST_CASE("member records with values out of range are rejected")
{
    const auto good = std::get<gossip_message>(control_samples().at(0).body);
    auto bad = good;
    bad.records[0].kind = static_cast<member_kind>(2);
    CHECK(kind_of_decode(bad) == error_kind::malformed);
    bad = good;
    bad.records[1].state = static_cast<member_state>(6);
    CHECK(kind_of_decode(bad) == error_kind::malformed);
    for (const std::uint8_t percent : {0, 101})
    {
        bad = good;
        bad.records[0].weight_percent = percent;
        CHECK(kind_of_decode(bad) == error_kind::malformed);
    }
    bad = good;
    bad.records[0].name.assign(member_text_bytes_max + 1, 'n');
    CHECK(kind_of_decode(bad) == error_kind::malformed);
    bad.records[0].name.pop_back();
    CHECK(kind_of_decode(bad) == error_kind::none);
}

TEST_CASE("flow records with values out of range are rejected")
{
    const auto good = std::get<hand_over_message>(control_samples().at(4).body);
    auto bad = good;
    bad.flow.requests[0].state = static_cast<request_state>(4);
    CHECK(kind_of_decode(bad) == error_kind::malformed);
    bad = good;
    bad.flow.requests[0].id.token_length = 9;
    CHECK(kind_of_decode(bad) == error_kind::malformed);
    bad = good;
    bad.flow.requests[0].answer.assign(coap_datagram_max + 1, 1);
    CHECK(kind_of_decode(bad) == error_kind::malformed);
    bad = good;
    bad.flow.requests[0].remaining = request_remaining_max + milliseconds(1);
    CHECK(kind_of_decode(bad) == error_kind::malformed);
    bad = good;
    bad.flow.observes[0].request.assign(coap_datagram_max + 1, 1);
    CHECK(kind_of_decode(bad) == error_kind::malformed);
}

TEST_CASE("a negative remaining time is encoded as zero")
{
    auto late = std::get<hand_over_message>(control_samples().at(4).body);
    late.flow.requests[0].remaining = milliseconds(-5);
    const auto got = decode_control(encode_control({1, 2, late}));
    REQUIRE(got.ok());
    const auto& flow = std::get<hand_over_message>(got->body).flow;
    CHECK(flow.requests[0].remaining == milliseconds(0));
}

TEST_CASE("configuration keys and values above the limits are rejected")
{
    configuration_message message{1, 2, {{"k", "", false}}};
    message.changes[0].value.assign(configuration_value_bytes_max, 'v');
    CHECK(kind_of_decode(message) == error_kind::none);
    message.changes[0].value.push_back('v');
    CHECK(kind_of_decode(message) == error_kind::malformed);
    message.changes[0].value.clear();
    message.changes[0].key.assign(configuration_key_bytes_max + 1, 'k');
    CHECK(kind_of_decode(message) == error_kind::malformed);
}

// Guards against: members that compare policies of the same revision as equal
// hold different ones, because one of them was damaged or unsorted.
TEST_CASE("placement policies with values out of range are rejected")
{
    const auto good =
        std::get<placement_policy_message>(control_samples().at(12).body);
    CHECK(kind_of_decode(good) == error_kind::none);
    // A request: no revision and no content.
    CHECK(kind_of_decode(placement_policy_message{}) == error_kind::none);
    auto bad = good;
    bad.policy.revision = -1;
    CHECK(kind_of_decode(bad) == error_kind::malformed);
    bad.policy.revision = 0;
    CHECK(kind_of_decode(bad) == error_kind::malformed);
    bad = good;
    std::swap(bad.policy.evacuated[0], bad.policy.evacuated[1]);
    CHECK(kind_of_decode(bad) == error_kind::malformed);
    bad = good;
    bad.policy.evacuated[1] = bad.policy.evacuated[0];
    CHECK(kind_of_decode(bad) == error_kind::malformed);
    bad = good;
    std::swap(bad.policy.warm_up[0], bad.policy.warm_up[1]);
    CHECK(kind_of_decode(bad) == error_kind::malformed);
    bad = good;
    bad.policy.warm_up[1].service = bad.policy.warm_up[0].service;
    CHECK(kind_of_decode(bad) == error_kind::malformed);
    bad = good;
    bad.policy.evacuated[1].assign(member_text_bytes_max + 1, 'z');
    CHECK(kind_of_decode(bad) == error_kind::malformed);
    bad.policy.evacuated[1].pop_back();
    CHECK(kind_of_decode(bad) == error_kind::none);
    bad = good;
    for (std::uint32_t n = 0; n < policy_entries_max; ++n)
    {
        bad.policy.warm_up.push_back({100 + n, 1});
    }
    CHECK(kind_of_decode(bad) == error_kind::malformed);
}

TEST_CASE("overlapping message parts cannot decode to more than its length")
{
    // All entries of the vector of a valid update are redirected to the same
    // large change.
    configuration_message message{1, 2, {}};
    message.changes.assign(200, {"key", "", false});
    message.changes[0].value.assign(100000, 'v');
    auto bytes = encode_control({1, 2, message});
    constexpr std::uint32_t count = 200;
    constexpr std::uint32_t entry_bytes = 4;
    byte_buffer pattern;
    put(pattern, count, 4);
    auto at =
        std::search(bytes.begin(), bytes.end(), pattern.begin(), pattern.end());
    REQUIRE(at != bytes.end());
    const auto read = [&](std::ptrdiff_t offset)
    {
        std::uint32_t value = 0;
        for (int n = 3; n >= 0; --n)
        {
            value = (value << 8U) | *(at + offset + n);
        }
        return value;
    };
    const auto target = 4 + read(4);
    for (std::uint32_t n = 1; n < count; ++n)
    {
        const std::uint32_t place = entry_bytes * (n + 1);
        byte_buffer entry;
        put(entry, target - place, entry_bytes);
        std::copy(entry.begin(), entry.end(), at + place);
    }
    CHECK(error_kind_of(decode_control(bytes).status()) ==
          error_kind::malformed);
}

TEST_CASE("truncated, corrupted and random control messages are handled safely")
{
    std::uint64_t seed = 60;
    for (const auto& sample : control_samples())
    {
        const auto bytes = encode_control(sample);
        for_each_truncation(bytes, check_decode);
        for_each_corruption(bytes, ++seed, check_decode);
    }
    for_each_random(300, 59, check_decode);
}
