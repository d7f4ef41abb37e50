#include "io/server/server_announcement.hpp"

#include "wire/wire.hpp"

#include <doctest/doctest.h>

using namespace briardrum;

namespace
{

auto answer_with(std::uint8_t code, std::string_view payload) -> byte_buffer
{
    byte_buffer out = {0x62, code, 0x12, 0x34, 0x12, 0x34, 0xff};
    for (const char letter : payload)
    {
        out.push_back(static_cast<std::uint8_t>(letter));
    }
    return out;
}

} // namespace

TEST_CASE("the announcement request is a GET that CoAP can read")
{
    const auto datagram = write_announcement_request(0x1234);
    const auto view = read_coap(datagram);
    REQUIRE(view.ok());
    CHECK(view->code == 1);
    CHECK(view->message_id == 0x1234);
    CHECK(view->token.size() == 2);
    const std::string text(datagram.begin(), datagram.end());
    CHECK(text.find(".well-known") != std::string::npos);
    CHECK(text.find("briardrum") != std::string::npos);
}

TEST_CASE("an announcement names the service and, perhaps, the slots")
{
    const auto full = read_announcement_answer(
        answer_with(0x45, "service=manifest server=manifest-1 slots=5"));
    REQUIRE(full.ok());
    CHECK(*full == server_announcement{"manifest", 5});
    const auto brief =
        read_announcement_answer(answer_with(0x45, "service=docs"));
    REQUIRE(brief.ok());
    CHECK(*brief == server_announcement{"docs", 0});
}

TEST_CASE("anything else is no announcement")
{
    for (const auto* text :
         {"slots=5", "{}", "manifest", "service=", "service=a slots=-1",
          "service=a slots=1000000", "service=a slots=", "service=a  slots=1",
          "\xff", " "})
    {
        CAPTURE(text);
        const auto read = read_announcement_answer(answer_with(0x45, text));
        CHECK(error_kind_of(read.status()) == error_kind::malformed);
    }
    const auto missing = read_announcement_answer(answer_with(0x84, "none"));
    CHECK(error_kind_of(missing.status()) == error_kind::not_found);
    CHECK_FALSE(read_announcement_answer({}).ok());
}
