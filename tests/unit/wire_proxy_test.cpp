#include "tests/support/fuzz_inputs.hpp"
#include "wire/wire.hpp"

#include <doctest/doctest.h>

using namespace briardrum;

namespace
{

constexpr endpoint caller{0x0a000001, 40000};
constexpr endpoint service_address{0x0a000002, 5683};
const byte_buffer datagram = {0x40, 1, 0, 1};

auto write() -> byte_buffer
{
    byte_buffer out;
    write_proxy_header({caller, service_address, datagram}, out);
    return out;
}

auto kind_of_read(const byte_buffer& bytes) -> error_kind
{
    return error_kind_of(read_proxy_header(bytes).status());
}

// Returns a header with TLVs between the addresses and the datagram.
auto with_tlvs(const byte_buffer& tlvs) -> byte_buffer
{
    auto bytes = write();
    bytes[15] = static_cast<std::uint8_t>(bytes[15] + tlvs.size());
    bytes.insert(bytes.begin() + proxy_header_bytes, tlvs.begin(), tlvs.end());
    return bytes;
}

auto check_read(byte_view bytes) -> void
{
    const auto packet = read_proxy_header(bytes);
    if (packet.ok())
    {
        REQUIRE_FALSE(packet->datagram.empty());
        REQUIRE(is_subrange(packet->datagram, bytes));
    }
}

} // namespace

TEST_CASE("a PROXY header is encoded as specified by the protocol")
{
    const byte_buffer expected = {
        0x0d, 0x0a, 0x0d, 0x0a, 0x00, 0x0d, 0x0a, 0x51, 0x55, 0x49, 0x54,
        0x0a, 0x21, 0x12, 0x00, 0x0c, 10,   0,    0,    1,    10,   0,
        0,    2,    0x9c, 0x40, 0x16, 0x33, 0x40, 1,    0,    1};
    CHECK(write() == expected);
}

TEST_CASE("a PROXY header survives encoding and decoding unchanged")
{
    const auto bytes = write();
    const auto packet = read_proxy_header(bytes);
    REQUIRE(packet.ok());
    CHECK(packet->caller == caller);
    CHECK(packet->service_address == service_address);
    CHECK(to_buffer(packet->datagram) == datagram);
}

TEST_CASE("TLVs of a PROXY header are skipped")
{
    const auto bytes = with_tlvs({0xe0, 0, 2, 7, 7, 0x04, 0, 0});
    const auto packet = read_proxy_header(bytes);
    REQUIRE(packet.ok());
    CHECK(to_buffer(packet->datagram) == datagram);
    CHECK(kind_of_read(with_tlvs({0xe0, 0, 3, 7, 7})) == error_kind::malformed);
    CHECK(kind_of_read(with_tlvs({0xe0, 0})) == error_kind::malformed);
}

TEST_CASE("invalid PROXY headers yield the matching error kind")
{
    const auto good = write();
    auto bad = good;
    bad.resize(proxy_header_bytes);
    CHECK(kind_of_read(bad) == error_kind::malformed);
    bad = good;
    bad[0] = 0;
    CHECK(kind_of_read(bad) == error_kind::malformed);
    bad = good;
    bad[12] = 0x31;
    CHECK(kind_of_read(bad) == error_kind::wrong_version);
    bad = good;
    bad[12] = 0x20; // LOCAL
    CHECK(kind_of_read(bad) == error_kind::malformed);
    bad[12] = 0x22;
    CHECK(kind_of_read(bad) == error_kind::malformed);
    for (const std::uint8_t family : {0x00, 0x11, 0x22, 0x32})
    {
        bad = good;
        bad[13] = family;
        CHECK(kind_of_read(bad) == error_kind::malformed);
    }
    bad = good;
    bad[15] = 11;
    CHECK(kind_of_read(bad) == error_kind::malformed);
    bad[15] = 255;
    CHECK(kind_of_read(bad) == error_kind::malformed);
}

TEST_CASE("a PROXY header that is truncated or lacks a datagram is rejected")
{
    const auto bytes = write();
    for_each_truncation(bytes,
                        [](byte_view part)
                        {
                            check_read(part);
                            const auto taken = read_proxy_header(part).ok();
                            REQUIRE(taken ==
                                    (part.size() > proxy_header_bytes));
                        });
}

TEST_CASE("corrupted and random PROXY headers are handled safely")
{
    for_each_corruption(write(), 81, check_read);
    for_each_corruption(with_tlvs({0xe0, 0, 2, 7, 7, 0x04, 0, 0}), 82,
                        check_read);
    for_each_random(80, 83, check_read);
}
