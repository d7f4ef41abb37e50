#include "tests/support/echo_trial.hpp"

#include <doctest/doctest.h>

using namespace briardrum;

namespace
{

constexpr std::uint8_t get = 1;
constexpr std::uint8_t post = 2;

auto echo_of(const received_request& request) -> std::string
{
    return std::string(as_text(request.echo));
}

} // namespace

// These say what libcoap's client does, not what ours does: they are the
// reason why a cookie is never given as a challenge. When a later libcoap
// fails the first, read docs/DESIGN.md again before changing anything.

TEST_CASE("libcoap repeats a large POST for each of two challenges")
{
    constexpr std::size_t several_blocks = 5000;
    echo_trial trial;
    trial.request(COAP_REQUEST_CODE_POST, several_blocks);
    const auto original = trial.next();
    REQUIRE(original.code == post);
    CHECK(original.echo.empty());
    trial.acknowledge(original);
    trial.answer_later(original, 401, "first");
    trial.answer_later(original, 401, "second");

    // The client has one request outstanding at a time (NSTART), so the
    // second copy waits for the answer to the first.
    const auto again = trial.next();
    trial.answer(again, 204, "");
    const auto once_more = trial.next();
    trial.answer(once_more, 204, "");
    CHECK(again.code == post);
    CHECK(once_more.code == post);
    CHECK(echo_of(again) == "first");
    CHECK(echo_of(once_more) == "second");
    // Nothing but the cookie tells that they are the same work.
    CHECK(again.message_id != original.message_id);
    CHECK(once_more.message_id != original.message_id);
    CHECK(once_more.message_id != again.message_id);
    CHECK(again.token != original.token);
    CHECK(once_more.token != original.token);
    CHECK(once_more.token != again.token);

    // No fourth POST comes before the next request.
    trial.request(COAP_REQUEST_CODE_GET);
    CHECK(trial.next().code == get);
}

TEST_CASE("libcoap repeats a small POST for the first challenge only")
{
    echo_trial trial;
    trial.request(COAP_REQUEST_CODE_POST);
    const auto original = trial.next();
    REQUIRE(original.code == post);
    trial.answer(original, 401, "first");
    trial.answer(original, 401, "second");
    const auto again = trial.next();
    CHECK(again.code == post);
    CHECK(echo_of(again) == "first");
    CHECK(again.token != original.token);
    trial.answer(again, 204, "");
    trial.wait_for_answers(1);
    trial.request(COAP_REQUEST_CODE_GET);
    CHECK(trial.next().code == get);
}

TEST_CASE("libcoap puts the Echo of an answer on its next request, once")
{
    echo_trial trial;
    trial.request(COAP_REQUEST_CODE_GET);
    const auto lookup = trial.next();
    REQUIRE(lookup.code == get);
    CHECK(lookup.echo.empty());
    trial.answer(lookup, 205, "cookie");
    trial.wait_for_answers(1);

    trial.request(COAP_REQUEST_CODE_POST);
    const auto work = trial.next();
    CHECK(work.code == post);
    CHECK(echo_of(work) == "cookie");
    trial.answer(work, 204, "");
    trial.wait_for_answers(2);

    trial.request(COAP_REQUEST_CODE_POST);
    const auto later = trial.next();
    CHECK(later.code == post);
    CHECK(later.echo.empty());
}
