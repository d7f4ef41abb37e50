#include "tests/support/fuzz_inputs.hpp"
#include "wire/coap/coap_option_reader.hpp"
#include "wire/coap/coap_option_writer.hpp"
#include "wire/wire.hpp"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>

using namespace briardrum;

namespace
{

const byte_buffer token = {1, 2, 3, 4};
const byte_buffer echo = {9, 8, 7, 6, 5};
const byte_buffer tag = {0xaa, 0xbb};

// Returns a confirmable POST /confirm/load with Block1, Request-Tag, deadline
// and urgency options and a payload.
auto make_post() -> byte_buffer
{
    byte_buffer out = {0x44, 0x02, 0x12, 0x34, 1, 2, 3, 4};
    coap_option_writer writer(out);
    writer.append(coap_option_uri_path, as_bytes("confirm"));
    writer.append(coap_option_uri_path, as_bytes("load"));
    writer.append(coap_option_block1, 0x2aU); // block 2, more, exponent 2
    writer.append(coap_option_request_tag, tag);
    writer.append(coap_option_deadline, 2500U);
    writer.append(coap_option_urgency, 1U);
    writer.append_payload(as_bytes("key=7"));
    return out;
}

auto numbers_of(byte_view datagram) -> std::vector<std::uint16_t>
{
    const auto view = read_coap(datagram);
    REQUIRE(view.ok());
    std::vector<std::uint16_t> numbers;
    coap_option_reader reader(datagram.subspan(4 + view->token.size()));
    while (reader.next())
    {
        numbers.push_back(reader.option().number);
    }
    return numbers;
}

auto payload_of(byte_view datagram) -> byte_view
{
    const auto view = read_coap(datagram);
    REQUIRE(view.ok());
    coap_option_reader reader(datagram.subspan(4 + view->token.size()));
    while (reader.next())
    {
    }
    return reader.payload();
}

auto kind_of_read(const byte_buffer& datagram) -> error_kind
{
    return error_kind_of(read_coap(datagram).status());
}

// Parses arbitrary bytes and checks that no view points outside of them.
auto check_read(byte_view bytes) -> void
{
    const auto view = read_coap(bytes);
    if (!view.ok())
    {
        return;
    }
    REQUIRE(is_subrange(view->token, bytes));
    REQUIRE(is_subrange(view->echo, bytes));
    REQUIRE(is_subrange(view->request_tag, bytes));
    coap_edit edit;
    edit.message_id = 1;
    if (!view->is_empty())
    {
        edit.echo = echo;
    }
    const auto edited = edit_coap(bytes, edit);
    REQUIRE((!edited.ok() || read_coap(*edited).ok()));
}

} // namespace

TEST_CASE("all parts of a CoAP request are parsed")
{
    const auto datagram = make_post();
    const auto view = read_coap(datagram);
    REQUIRE(view.ok());
    CHECK(view->type == coap_type::confirmable);
    CHECK(view->code == 2);
    CHECK(view->is_request());
    CHECK(view->message_id == 0x1234);
    CHECK(to_buffer(view->token) == token);
    CHECK(to_buffer(view->request_tag) == tag);
    CHECK(view->echo.empty());
    REQUIRE(view->block1.has_value());
    CHECK(view->block1->number == 2);
    CHECK(view->block1->more);
    CHECK(view->block1->size_exponent == 2);
    CHECK_FALSE(view->block2.has_value());
    CHECK_FALSE(view->observe.has_value());
    CHECK(view->deadline_ms == 2500);
    CHECK(view->urgency == 1);
}

TEST_CASE("invalid CoAP datagrams yield the matching error kind")
{
    CHECK(kind_of_read({}) == error_kind::malformed);
    CHECK(kind_of_read({0x40, 1, 0}) == error_kind::malformed);
    CHECK(kind_of_read({0x80, 1, 0, 1}) == error_kind::wrong_version);
    CHECK(kind_of_read({0x49, 1, 0, 1}) == error_kind::malformed);
    CHECK(kind_of_read({0x42, 1, 0, 1, 9}) == error_kind::malformed);
    // An empty message with a token, and one with content.
    CHECK(kind_of_read({0x41, 0, 0, 1, 9}) == error_kind::malformed);
    CHECK(kind_of_read({0x40, 0, 0, 1, 0xff, 9}) == error_kind::malformed);
    // Reserved classes 1, 6 and 7.
    CHECK(kind_of_read({0x40, 0x20, 0, 1}) == error_kind::malformed);
    CHECK(kind_of_read({0x40, 0xc0, 0, 1}) == error_kind::malformed);
    CHECK(kind_of_read({0x40, 0xe1, 0, 1}) == error_kind::malformed);
    // A payload marker without a payload; reserved delta and length.
    CHECK(kind_of_read({0x40, 1, 0, 1, 0xff}) == error_kind::malformed);
    CHECK(kind_of_read({0x40, 1, 0, 1, 0xf0, 0}) == error_kind::malformed);
    CHECK(kind_of_read({0x40, 1, 0, 1, 0x1f, 0}) == error_kind::malformed);
    // Block size exponent 7 is reserved.
    CHECK(kind_of_read({0x40, 1, 0, 1, 0xd1, 14, 7}) == error_kind::malformed);
    CHECK(kind_of_read(byte_buffer(coap_datagram_max + 1, 0x40)) ==
          error_kind::oversize);
    CHECK(kind_of_read({0x40, 0, 0, 1}) == error_kind::none);
}

TEST_CASE("option numbers above 65535 are rejected and do not wrap around")
{
    // One delta of 269 + 0xfeff = 65548, which would wrap to 12.
    CHECK(kind_of_read({0x40, 1, 0, 1, 0xe0, 0xfe, 0xff}) ==
          error_kind::malformed);
    // Two deltas that are valid separately, but not their sum.
    CHECK(kind_of_read({0x40, 1, 0, 1, 0xe0, 0xf0, 0, 0xe0, 0xf0, 0}) ==
          error_kind::malformed);
    // 269 + 0xfef2 = 65535 is the largest valid number.
    CHECK(kind_of_read({0x40, 1, 0, 1, 0xe0, 0xfe, 0xf2}) == error_kind::none);
}

TEST_CASE("an elective option of invalid length is ignored")
{
    byte_buffer datagram = {0x40, 1, 0, 1};
    coap_option_writer writer(datagram);
    writer.append(coap_option_observe, byte_buffer(4, 1));
    writer.append(coap_option_max_age, byte_buffer(5, 1));
    const auto view = read_coap(datagram);
    REQUIRE(view.ok());
    CHECK_FALSE(view->observe.has_value());
    CHECK_FALSE(view->max_age_s.has_value());
}

TEST_CASE("Echo is inserted before Request-Tag and can be removed again")
{
    const auto datagram = make_post();
    coap_edit edit;
    edit.echo = echo;
    const auto with_echo = edit_coap(datagram, edit);
    REQUIRE(with_echo.ok());
    CHECK(numbers_of(*with_echo) ==
          std::vector<std::uint16_t>{11, 11, 27, 252, 292, 65000, 65004});
    const auto view = read_coap(*with_echo);
    REQUIRE(view.ok());
    CHECK(to_buffer(view->echo) == echo);
    CHECK(to_buffer(view->request_tag) == tag);
    CHECK(to_buffer(payload_of(*with_echo)) == to_buffer(as_bytes("key=7")));

    edit.echo = byte_view{};
    const auto without = edit_coap(*with_echo, edit);
    REQUIRE(without.ok());
    CHECK(*without == datagram);
}

TEST_CASE("an edit changes only the fields that it sets")
{
    const auto datagram = make_post();
    const auto same = edit_coap(datagram, {});
    REQUIRE(same.ok());
    CHECK(*same == datagram);

    const byte_buffer longer(8, 0x55);
    coap_edit edit;
    edit.type = coap_type::non_confirmable;
    edit.message_id = 0xfffe;
    edit.token = longer;
    edit.observe = 0x1000007;
    const auto edited = edit_coap(datagram, edit);
    REQUIRE(edited.ok());
    const auto view = read_coap(*edited);
    REQUIRE(view.ok());
    CHECK(view->type == coap_type::non_confirmable);
    CHECK(view->message_id == 0xfffe);
    CHECK(to_buffer(view->token) == longer);
    // An Observe sequence number has 24 bits.
    CHECK(view->observe == 7);
    CHECK(numbers_of(*edited) ==
          std::vector<std::uint16_t>{6, 11, 11, 27, 292, 65000, 65004});
    CHECK(to_buffer(payload_of(*edited)) == to_buffer(as_bytes("key=7")));
}

TEST_CASE("an edit replaces all existing Echo and Observe options")
{
    byte_buffer datagram = {0x40, 0x45, 0, 1};
    coap_option_writer writer(datagram);
    writer.append(coap_option_observe, 5U);
    writer.append(coap_option_echo, byte_buffer(40, 1));
    writer.append(coap_option_echo, byte_buffer(40, 2));
    coap_edit edit;
    edit.echo = echo;
    edit.observe = 6;
    const auto edited = edit_coap(datagram, edit);
    REQUIRE(edited.ok());
    CHECK(numbers_of(*edited) == std::vector<std::uint16_t>{6, 252});
    const auto view = read_coap(*edited);
    REQUIRE(view.ok());
    CHECK(view->observe == 6);
    CHECK(to_buffer(view->echo) == echo);
}

TEST_CASE("edits that CoAP cannot represent are rejected")
{
    const auto datagram = make_post();
    const byte_buffer long_token(9, 1);
    const byte_buffer long_echo(41, 1);
    coap_edit edit;
    edit.token = long_token;
    CHECK(error_kind_of(edit_coap(datagram, edit).status()) ==
          error_kind::invalid_argument);
    edit = {};
    edit.echo = long_echo;
    CHECK(error_kind_of(edit_coap(datagram, edit).status()) ==
          error_kind::invalid_argument);
    edit.echo = echo;
    CHECK(error_kind_of(edit_coap(byte_buffer{0x40, 0, 0, 1}, edit).status()) ==
          error_kind::invalid_argument);
    auto full = datagram;
    full.resize(coap_datagram_max, 'x');
    const auto grown = edit_coap(full, edit);
    REQUIRE(grown.ok());
    CHECK(grown->size() > coap_datagram_max);
    CHECK(grown->size() <= coap_datagram_max + coap_edit_growth_max);
    full.push_back('x');
    CHECK(error_kind_of(edit_coap(full, edit).status()) ==
          error_kind::oversize);
}

TEST_CASE("written replies can be parsed")
{
    coap_reply reply;
    reply.code = 503;
    reply.message_id = 77;
    reply.token = token;
    reply.max_age_s = 2;
    reply.text = "not run: overloaded";
    const auto datagram = write_coap(reply);
    const auto view = read_coap(datagram);
    REQUIRE(view.ok());
    CHECK(view->type == coap_type::acknowledgement);
    CHECK(view->code == 0xa3);
    CHECK(view->is_response());
    CHECK(view->message_id == 77);
    CHECK(to_buffer(view->token) == token);
    CHECK(view->max_age_s == 2);
    CHECK(view->echo.empty());
    CHECK(to_buffer(payload_of(datagram)) == to_buffer(as_bytes(reply.text)));

    reply.type = coap_type::reset;
    reply.code = 0;
    CHECK(write_coap(reply) == byte_buffer{0x70, 0, 0, 77});
}

TEST_CASE("invalid CoAP datagrams are never read past their end")
{
    const auto datagram = make_post();
    for_each_truncation(datagram, check_read);
    for_each_corruption(datagram, 41, check_read);
    for_each_random(80, 42, check_read);
}
