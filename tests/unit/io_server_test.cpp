#include "io/server/announcement_check.hpp"

#include "wire/wire.hpp"

#include <doctest/doctest.h>

using namespace briardrum;

namespace
{

auto answer_to(std::uint16_t probe, std::uint8_t code, std::string_view payload)
    -> byte_buffer
{
    const auto high = static_cast<std::uint8_t>(probe >> 8U);
    const auto low = static_cast<std::uint8_t>(probe & 0xffU);
    byte_buffer out = {0x62, code, high, low, high, low, 0xff};
    for (const char letter : payload)
    {
        out.push_back(static_cast<std::uint8_t>(letter));
    }
    return out;
}

auto answer_with(std::uint8_t code, std::string_view payload) -> byte_buffer
{
    return answer_to(0x1234, code, payload);
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

// Guards against: one datagram of another writer that announces another
// service, or nothing readable, ends the requests in progress of a server that
// lives.
TEST_CASE("a known server is only given up when two probes agree")
{
    announcement_check it("manifest");
    const auto ours = "service=manifest slots=5";
    const auto probe = it.start_probe();
    REQUIRE(it.on_answer(answer_to(probe, 0x45, ours)) ==
            announcement_verdict::confirmed);
    CHECK(it.announcement().slots == 5);
    const auto odd = it.start_probe();
    SUBCASE("another service")
    {
        CHECK(it.on_answer(answer_to(odd, 0x45, "service=docs")) ==
              announcement_verdict::doubted);
        // A copy of it says nothing new.
        CHECK(it.on_answer(answer_to(odd, 0x45, "service=docs")) ==
              announcement_verdict::doubted);
    }
    SUBCASE("an error")
    {
        CHECK(it.on_answer(answer_to(odd, 0x84, "none")) ==
              announcement_verdict::doubted);
    }
    SUBCASE("a payload that cannot be read")
    {
        CHECK(it.on_answer(answer_to(odd, 0x45, "\xff")) ==
              announcement_verdict::doubted);
    }
    CHECK(it.is_confirmed());
    const auto next = it.start_probe();
    SUBCASE("the server answers")
    {
        CHECK(it.on_answer(answer_to(next, 0x45, ours)) ==
              announcement_verdict::confirmed);
        CHECK(it.is_confirmed());
    }
    SUBCASE("the address is another service's by now")
    {
        it.on_answer(answer_to(odd, 0x45, "service=docs"));
        CHECK(it.on_answer(answer_to(next, 0x45, "service=docs")) ==
              announcement_verdict::refuted);
        CHECK_FALSE(it.is_confirmed());
        CHECK(it.problem() ==
              "the backend server announces docs, not manifest");
        // The agent's own service may come back.
        const auto later = it.start_probe();
        CHECK(it.on_answer(answer_to(later, 0x45, ours)) ==
              announcement_verdict::confirmed);
    }
}

TEST_CASE("a datagram that answers no recent probe says nothing of the server")
{
    announcement_check it("manifest");
    const auto first = it.start_probe();
    CHECK(it.on_answer(answer_to(first + 1, 0x45, "service=manifest")) ==
          announcement_verdict::ignored);
    CHECK(it.on_answer({}) == announcement_verdict::ignored);
    CHECK_FALSE(it.is_confirmed());
    // A slow server answers a probe after the next ones have been sent.
    for (auto n = 1; n < announcement_check::recent_probes; ++n)
    {
        it.start_probe();
    }
    CHECK(it.on_answer(answer_to(first, 0x45, "service=manifest")) ==
          announcement_verdict::confirmed);
    it.start_probe();
    CHECK(it.on_answer(answer_to(first, 0x45, "service=docs")) ==
          announcement_verdict::ignored);
}

TEST_CASE("a server that was not known is refused by its first answer")
{
    announcement_check it("manifest");
    CHECK(it.on_answer(answer_to(it.start_probe(), 0x45, "service=docs")) ==
          announcement_verdict::refuted);
    it.on_answer(answer_to(it.start_probe(), 0x45, "service=manifest"));
    it.on_lost();
    CHECK(it.on_answer(answer_to(it.start_probe(), 0x45, "service=docs")) ==
          announcement_verdict::refuted);
}
