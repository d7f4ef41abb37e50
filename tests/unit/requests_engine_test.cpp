#include "tests/unit/requests_fixture.hpp"

#include <doctest/doctest.h>

using namespace briardrum;
using briardrum::tests::requests_fixture;

TEST_CASE(
    "copies of an answered request get the stored answer until it expires")
{
    requests_fixture f;
    CHECK(f.arrive(1, 1, false) == arrival_result::accepted);
    CHECK(f.arrive(1, 1, false) == arrival_result::in_progress);
    REQUIRE(f.dispatches.size() == 1);
    CHECK(f.engine.in_progress({f.id_of(1, 1).flow}) == 1);
    CHECK(f.answer_last());
    CHECK(f.engine.in_progress(f.id_of(1, 1).flow) == 0);
    CHECK(f.answers.size() == 1);
    f.advance(seconds(246));
    CHECK(f.arrive(1, 1, false) == arrival_result::repeated);
    CHECK(f.answers.size() == 2);
    CHECK(f.dispatches.size() == 1);
    f.advance(seconds(2));
    CHECK(f.arrive(1, 1, false) == arrival_result::accepted);
}

TEST_CASE(
    "late, reordered and repeated answers match their own request or none")
{
    requests_fixture f;
    f.arrive(1, 1, false);
    f.arrive(2, 2, false);
    const auto first = f.dispatches[0].token;
    const auto second = f.dispatches[1].token;
    CHECK(f.answer(second));
    REQUIRE(f.answers.size() == 1);
    CHECK(f.answers[0] == f.id_of(2, 2));
    CHECK_FALSE(f.answer(second));
    CHECK(f.answer(first));
    CHECK(f.answers[1] == f.id_of(1, 1));
    CHECK_FALSE(f.answer(4711));
    CHECK(f.answers.size() == 2);
}

TEST_CASE("a queued request whose deadline passes is refused as not run")
{
    requests_fixture f;
    f.fill_slots();
    f.arrive(1, 1, false, milliseconds(500));
    f.advance(milliseconds(600));
    REQUIRE(f.refusals.size() == 1);
    CHECK(error_mapping_for(f.refusals[0].kind).not_run);
    CHECK(f.refusals[0].retry_after >= seconds(1));
    for (std::size_t n = 0; n < f.slots; ++n)
    {
        f.answer(f.dispatches[n].token);
    }
    f.arrive(1, 1, false);
    // The tombstone prevents a late copy from running after "not run" was sent.
    CHECK(f.dispatches.size() == f.slots);
    CHECK(f.refusals.size() == 2);
}

TEST_CASE("a running request whose deadline passes ends as outcome unknown")
{
    requests_fixture f;
    f.arrive(1, 1, false, milliseconds(500));
    f.advance(milliseconds(600));
    REQUIRE(f.refusals.size() == 1);
    CHECK(f.refusals[0].kind == error_kind::outcome_unknown);
    CHECK(f.cancels.size() == 1);
    CHECK_FALSE(f.answer_last());
    CHECK(f.answers.empty());
    CHECK(f.arrive(1, 1, false) == arrival_result::repeated);
    CHECK(f.refusals.back().kind == error_kind::outcome_unknown);
    CHECK(f.dispatches.size() == 1);
}

TEST_CASE(
    "a request whose estimated wait exceeds its deadline is refused at once")
{
    requests_fixture f;
    // Each answer takes one second, which the engine learns as the latency.
    for (std::uint16_t n = 0; n < 30; ++n)
    {
        f.arrive(1, n, true);
        f.now += seconds(1);
        f.answer_last();
    }
    f.clear();
    f.fill_slots();
    CHECK(f.arrive(2, 1, false, milliseconds(300)) == arrival_result::refused);
    REQUIRE(f.refusals.size() == 1);
    CHECK(f.refusals[0].kind == error_kind::deadline_too_short);
    CHECK(f.arrive(2, 2, false, seconds(9)) == arrival_result::accepted);
}

TEST_CASE("when the server is lost, repeatable requests are retried and others "
          "end as outcome unknown")
{
    requests_fixture f;
    // Fills the retry budget.
    for (std::uint16_t n = 0; n < 20; ++n)
    {
        f.arrive(9, n, true);
        f.answer_last();
    }
    f.clear();
    f.arrive(1, 1, false);
    f.arrive(2, 2, true);
    f.engine.on_server_lost(f.now);
    REQUIRE(f.refusals.size() == 1);
    CHECK(f.refusals[0].id == f.id_of(1, 1));
    CHECK(f.refusals[0].kind == error_kind::outcome_unknown);
    f.engine.on_server_ready(f.now);
    REQUIRE(f.dispatches.size() == 3);
    CHECK(f.dispatches[2].id == f.id_of(2, 2));
    CHECK(f.dispatches[2].token != f.dispatches[1].token);
    CHECK_FALSE(f.answer(f.dispatches[1].token));
    CHECK(f.answer(f.dispatches[2].token));
}

TEST_CASE("a lost server is probed with one request at a time")
{
    requests_fixture f;
    f.engine.on_server_lost(f.now);
    for (std::uint16_t n = 0; n < 5; ++n)
    {
        f.arrive(1, n, false, seconds(20));
    }
    CHECK(f.dispatches.empty());
    f.advance(seconds(3));
    CHECK(f.dispatches.size() == 1);
    f.answer_last();
    CHECK(f.dispatches.size() > 1);
}

TEST_CASE(
    "a shed request is retried once within the budget, else refused as not run")
{
    requests_fixture f;
    f.arrive(1, 1, false);
    f.answer(f.dispatches[0].token, server_verdict::overloaded);
    REQUIRE(f.refusals.size() == 1);
    CHECK(f.refusals[0].kind == error_kind::overloaded);
    for (std::uint16_t n = 0; n < 20; ++n)
    {
        f.arrive(9, n, true);
        f.answer_last();
    }
    f.clear();
    f.arrive(2, 2, false);
    f.answer(f.dispatches[0].token, server_verdict::overloaded);
    CHECK(f.refusals.empty());
    REQUIRE(f.dispatches.size() == 2);
    CHECK(f.dispatches[1].id == f.id_of(2, 2));
    f.answer(f.dispatches[1].token, server_verdict::overloaded);
    REQUIRE(f.refusals.size() == 1);
    CHECK(f.refusals[0].kind == error_kind::overloaded);
}

TEST_CASE("cancelling removes a queued request or notifies the server of a "
          "running one")
{
    requests_fixture f;
    f.arrive(1, 1, false);
    f.engine.cancel(f.now, f.id_of(1, 1));
    REQUIRE(f.cancels.size() == 1);
    f.answer(f.dispatches[0].token);
    CHECK(f.answers.empty());
    f.fill_slots();
    f.arrive(2, 2, false);
    f.engine.cancel(f.now, f.id_of(2, 2));
    CHECK(f.cancels.size() == 1);
    CHECK(f.engine.in_progress(f.id_of(2, 2).flow) == 0);
    CHECK(f.arrive(2, 2, false) == arrival_result::repeated);
    REQUIRE(!f.outcomes.empty());
    CHECK(f.outcomes.back().cancelled);
}

TEST_CASE("a server that sends nothing while requests are running is silent")
{
    requests_fixture f;
    CHECK_FALSE(f.engine.looks_silent(f.now + minutes(1)));
    f.arrive(1, 1, false, minutes(1));
    f.advance(seconds(1));
    CHECK_FALSE(f.engine.looks_silent(f.now));
    f.advance(seconds(2));
    CHECK(f.engine.looks_silent(f.now));
    // A silent server gets no second request while one is running.
    f.arrive(2, 2, false);
    CHECK(f.dispatches.size() == 1);
    f.engine.on_server_heard(f.now);
    CHECK_FALSE(f.engine.looks_silent(f.now));
    f.advance(milliseconds(10));
    CHECK(f.dispatches.size() == 2);
}

TEST_CASE("a repeatable request at a silent server is retried once")
{
    requests_fixture f;
    for (std::uint16_t n = 0; n < 20; ++n)
    {
        f.arrive(9, n, true);
        f.answer_last();
    }
    f.clear();
    f.arrive(1, 1, true, seconds(8));
    f.advance(seconds(20));
    CHECK(f.dispatches.size() == 2);
    REQUIRE(f.refusals.size() == 1);
    CHECK_FALSE(error_mapping_for(f.refusals[0].kind).not_run);
}

TEST_CASE("copies of finished requests get the stored result after a handover")
{
    requests_fixture a;
    a.arrive(1, 1, false);
    a.answer_last();
    a.arrive(1, 2, false, milliseconds(100));
    a.advance(milliseconds(200));
    a.fill_slots();
    a.arrive(1, 3, false, milliseconds(100));
    a.advance(milliseconds(200));
    const auto records = a.engine.extract(a.now, a.id_of(1, 1).flow);
    REQUIRE(records.size() == 3);
    requests_fixture b;
    b.engine.restore(b.now, records);
    for (std::uint16_t n = 1; n <= 3; ++n)
    {
        CHECK(b.arrive(1, n, false) == arrival_result::repeated);
    }
    CHECK(b.dispatches.empty());
    CHECK(b.answers.size() == 1);
    REQUIRE(b.refusals.size() == 2);
    CHECK(b.refusals[0].kind == error_kind::outcome_unknown);
    CHECK(error_mapping_for(b.refusals[1].kind).not_run);
    b.advance(seconds(248));
    CHECK(b.engine.stored_count() == 0);
}

TEST_CASE("retries on a lost server stay within the budget")
{
    requests_fixture f;
    service_policy policy;
    policy.retry_percent = 10;
    f.engine.set_policy(policy);
    std::uint16_t message = 0;
    for (int round = 0; round < 100; ++round)
    {
        f.engine.on_server_ready(f.now);
        for (int n = 0; n < 5; ++n)
        {
            f.arrive(1, ++message, true, seconds(60));
            f.answer_last();
        }
        f.arrive(1, ++message, true, seconds(60));
        f.engine.on_server_lost(f.now);
    }
    const auto& counters = f.engine.counters();
    CHECK(counters.retried > 0);
    CHECK(counters.retried * 10 <= counters.arrived);
}

TEST_CASE("a cancelled request frees its slot even if no answer arrives")
{
    requests_fixture f;
    f.fill_slots();
    f.arrive(1, 1, false, minutes(1));
    f.engine.on_server_heard(f.now);
    for (std::uint16_t n = 0; n < f.slots; ++n)
    {
        f.engine.cancel(f.now, f.id_of(f.busy_caller, n));
    }
    CHECK(f.cancels.size() == f.slots);
    CHECK(f.dispatches.size() == f.slots);
    f.advance(milliseconds(1100));
    CHECK(f.dispatches.size() == f.slots + 1U);
    CHECK(f.refusals.empty());
}

TEST_CASE("queueing time and running time are bounded")
{
    requests_fixture f;
    f.arrive(1, 1, false, minutes(60));
    for (std::uint16_t n = 0; n < f.slots; ++n)
    {
        f.arrive(2, n, false, minutes(60));
    }
    f.engine.on_server_heard(f.now);
    f.advance(seconds(31));
    REQUIRE(f.refusals.size() == 1);
    CHECK(f.refusals[0].kind == error_kind::overloaded);
    f.advance(minutes(4));
    CHECK(f.engine.in_progress() == 0);
}

TEST_CASE("a request that expired between ticks is not dispatched")
{
    requests_fixture f;
    f.fill_slots();
    f.arrive(1, 1, false, milliseconds(500));
    f.now += milliseconds(600);
    f.answer(f.dispatches[0].token);
    CHECK(f.dispatches.size() == f.slots);
    REQUIRE(f.refusals.size() == 1);
    CHECK(f.refusals[0].kind == error_kind::deadline_too_short);
}

TEST_CASE("handed-over answers keep their original expiry time")
{
    requests_fixture f;
    f.arrive(1, 1, false);
    f.answer_last();
    f.advance(seconds(200));
    const auto records = f.engine.extract(f.now, f.id_of(1, 1).flow);
    REQUIRE(records.size() == 1);
    CHECK(records[0].remaining == seconds(47));
}
