#include "tests/unit/requests_fixture.hpp"

#include "requests/limits/concurrency_limit.hpp"
#include "requests/limits/retry_budget.hpp"
#include "requests/limits/urgency_queue.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <set>

using namespace briardrum;
using briardrum::tests::requests_fixture;

TEST_CASE("the limit rises from one and never exceeds the advertised slots")
{
    concurrency_limit limit;
    limit.set_slots(5);
    CHECK(limit.value() == 1);
    millis now;
    std::size_t before = 1;
    for (int n = 0; n < 100; ++n)
    {
        now += milliseconds(10);
        limit.on_answered(now, milliseconds(10), limit.value());
        CHECK(limit.value() <= before + 1);
        CHECK(limit.value() <= 5);
        before = limit.value();
    }
    CHECK(limit.value() == 5);
    limit.set_slots(2);
    CHECK(limit.value() == 2);
}

TEST_CASE("the limit falls to no less than one when the server sheds load")
{
    concurrency_limit limit;
    limit.set_slots(8);
    millis now;
    for (int n = 0; n < 20; ++n)
    {
        limit.on_answered(now, milliseconds(10), limit.value());
    }
    REQUIRE(limit.value() == 8);
    // Several sheds at the same time cause one decrease.
    limit.on_overloaded(now);
    limit.on_overloaded(now);
    CHECK(limit.value() == 5);
    for (int n = 0; n < 50; ++n)
    {
        now += seconds(1);
        limit.on_overloaded(now);
    }
    CHECK(limit.value() == 1);
    for (int n = 0; n < 200; ++n)
    {
        limit.on_answered(now, milliseconds(10), limit.value());
    }
    CHECK(limit.value() == 8);
}

TEST_CASE("the limit falls when latency rises above its baseline")
{
    concurrency_limit limit;
    limit.set_slots(8);
    millis now;
    for (int n = 0; n < 500; ++n)
    {
        now += milliseconds(10);
        limit.on_answered(now, milliseconds(10), limit.value());
    }
    REQUIRE(limit.value() == 8);
    std::size_t lowest = 8;
    for (int n = 0; n < 100; ++n)
    {
        now += milliseconds(50);
        limit.on_answered(now, milliseconds(50), limit.value());
        lowest = std::min(lowest, limit.value());
    }
    CHECK(lowest < 8);
}

TEST_CASE("retries stay within their percentage of arriving requests")
{
    retry_budget budget;
    budget.set_percent(10);
    CHECK_FALSE(budget.withdraw());
    int allowed = 0;
    for (int n = 0; n < 1000; ++n)
    {
        budget.deposit();
        allowed += budget.withdraw() ? 1 : 0;
    }
    CHECK(allowed == 100);
    budget.set_percent(0);
    CHECK_FALSE(budget.withdraw());
}

TEST_CASE("urgent requests go first without starving other urgencies")
{
    urgency_queue queue;
    queue.set_limit(10000);
    std::uint16_t message = 0;
    for (std::uint16_t n = 0; n < 1000; ++n)
    {
        queue.push(urgency::urgent, requests_fixture::id_of(1, ++message));
        queue.push(urgency::normal, requests_fixture::id_of(2, ++message));
        queue.push(urgency::bulk, requests_fixture::id_of(3, ++message));
    }
    std::array<int, 4> served{};
    for (int n = 0; n < 1000; ++n)
    {
        const auto id = queue.pop();
        ++served.at(id.flow.caller.port);
    }
    CHECK(served[1] >= 600);
    CHECK(served[2] >= 180);
    CHECK(served[3] >= 90);
}

TEST_CASE(
    "a full queue keeps a quota for each urgency and gives the rest by urgency")
{
    urgency_queue queue;
    queue.set_limit(100);
    for (std::uint16_t n = 0; n < 100; ++n)
    {
        queue.push(urgency::urgent, requests_fixture::id_of(1, n));
    }
    REQUIRE(queue.is_full());
    const endpoint new_caller{1, 1};
    const auto victim = queue.victim_for(urgency::bulk, new_caller);
    REQUIRE(victim.has_value());
    CHECK(victim->flow.caller.port == 1);
    // Within one urgency, a caller with few requests displaces the one with
    // most.
    CHECK(queue.victim_for(urgency::urgent, new_caller) == victim);
    CHECK_FALSE(queue.victim_for(urgency::urgent, victim->flow.caller));

    urgency_queue bulk;
    bulk.set_limit(100);
    for (std::uint16_t n = 0; n < 100; ++n)
    {
        bulk.push(urgency::bulk, requests_fixture::id_of(n, n));
    }
    CHECK(bulk.victim_for(urgency::urgent, new_caller).has_value());
    CHECK(bulk.victim_for(urgency::normal, new_caller).has_value());
    CHECK_FALSE(bulk.victim_for(urgency::bulk, new_caller).has_value());
}

TEST_CASE("callers of one urgency are served round robin")
{
    requests_fixture f;
    f.fill_slots();
    for (std::uint16_t n = 0; n < 50; ++n)
    {
        f.arrive(1, n, false);
    }
    f.arrive(2, 1000, false);
    f.arrive(3, 1001, false);
    for (std::size_t n = 0; n < 3; ++n)
    {
        f.answer(f.dispatches[n].token);
    }
    std::set<std::uint16_t> callers;
    for (std::size_t n = 3; n < 6; ++n)
    {
        callers.insert(f.dispatches[n].id.flow.caller.port);
    }
    CHECK(callers == std::set<std::uint16_t>{1, 2, 3});
}

TEST_CASE(
    "a full queue refuses requests as not run, and later copies do not run")
{
    requests_fixture f;
    service_policy policy;
    policy.queue_limit = 10;
    f.engine.set_policy(policy);
    f.fill_slots();
    std::uint16_t refused = 0;
    for (std::uint16_t n = 0; n < 20; ++n)
    {
        refused += f.arrive(n, n, false) == arrival_result::refused ? 1 : 0;
    }
    CHECK(refused == 10);
    CHECK(f.refusals.size() == 10);
    for (const auto& refusal : f.refusals)
    {
        CHECK(refusal.kind == error_kind::overloaded);
    }
    const auto before = f.dispatches.size();
    CHECK(f.arrive(19, 19, false) == arrival_result::repeated);
    CHECK(f.dispatches.size() == before);
}

TEST_CASE("refused callers get different retry-after times")
{
    requests_fixture f;
    service_policy policy;
    policy.queue_limit = 1;
    f.engine.set_policy(policy);
    f.fill_slots();
    std::set<millis> times;
    for (std::uint16_t n = 0; n < 100; ++n)
    {
        f.arrive(n, n, false);
    }
    for (const auto& refusal : f.refusals)
    {
        CHECK(refusal.retry_after >= seconds(1));
        CHECK(refusal.retry_after <= seconds(120));
        times.insert(refusal.retry_after);
    }
    CHECK(times.size() > 50);
}

TEST_CASE("under memory pressure new requests are refused and no stored "
          "result is evicted")
{
    request_bounds bounds;
    bounds.answer_bytes = 40000;
    bounds.refusal_bytes = 10000;
    requests_fixture f(bounds);
    std::array<std::size_t, 5> results{};
    for (std::uint16_t n = 0; n < 1000; ++n)
    {
        const auto result = f.arrive(1, n, false);
        ++results.at(static_cast<std::size_t>(result));
        if (result == arrival_result::accepted)
        {
            f.answer_last();
        }
        CHECK(f.engine.stored_bytes() <= 50000);
    }
    CHECK(results[static_cast<std::size_t>(arrival_result::accepted)] > 0);
    CHECK(results[static_cast<std::size_t>(arrival_result::refused)] > 0);
    CHECK(results[static_cast<std::size_t>(arrival_result::dropped)] > 0);
    CHECK(f.answers.size() == f.dispatches.size());
    CHECK(f.arrive(1, 0, false) == arrival_result::repeated);
    f.advance(seconds(248));
    CHECK(f.arrive(1, 999, false) == arrival_result::accepted);
}

TEST_CASE("a request timeout lowers the limit")
{
    concurrency_limit limit;
    limit.set_slots(8);
    millis now;
    for (int n = 0; n < 20; ++n)
    {
        limit.on_answered(now, milliseconds(10), limit.value());
    }
    now += seconds(10);
    limit.on_timed_out(now, seconds(10));
    CHECK(limit.value() == 5);
    CHECK(limit.latency().recent() > 100);
}

TEST_CASE("the memory for datagrams of requests in progress is bounded")
{
    request_bounds bounds;
    // The fixture's datagrams have 3 bytes.
    bounds.queue_bytes = (requests_fixture::slots + 2) * std::size_t{3};
    requests_fixture f(bounds);
    f.fill_slots();
    CHECK(f.arrive(1, 1, false) == arrival_result::accepted);
    CHECK(f.arrive(2, 2, false) == arrival_result::accepted);
    CHECK(f.arrive(3, 3, false) == arrival_result::refused);
    REQUIRE(f.refusals.size() == 1);
    CHECK(f.refusals[0].kind == error_kind::overloaded);
}
