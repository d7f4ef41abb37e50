#include "packets/agent/flow_admission.hpp"

#include <doctest/doctest.h>

using namespace briardrum;

namespace
{

constexpr std::uint8_t ordinary = 2;
constexpr std::uint8_t urgent = 1;

auto flow(std::uint16_t port) -> flow_key
{
    return {{1, port}, 1};
}

// Two slots, all taken, with the allowance used up.
auto full_server(admission_settings settings = {}) -> flow_admission
{
    flow_admission out(settings);
    out.set_slots(2);
    for (int n = 0; n < 5; ++n)
    {
        out.acquire_slot();
    }
    return out;
}

} // namespace

TEST_CASE("bounded concurrency: free slots first, an allowance as last resort")
{
    flow_admission it({});
    it.set_slots(2);
    it.acquire_slot();
    it.acquire_slot();
    CHECK(it.has_free_slot());
    it.acquire_slot();
    CHECK_FALSE(it.has_free_slot());
    CHECK(it.decide(seconds(1), ordinary, seconds(1)) ==
          admission_decision::start);
    it.acquire_slot();
    it.acquire_slot();
    CHECK(it.decide(seconds(1), ordinary, seconds(1)) ==
          admission_decision::wait);
}

TEST_CASE("bounded transfers: large requests do not all arrive at once")
{
    flow_admission it({});
    it.set_slots(2);
    for (int n = 0; n < 3; ++n)
    {
        CHECK(it.has_free_slot());
        it.begin_transfer();
    }
    CHECK_FALSE(it.has_free_slot());
    CHECK(it.decide(seconds(1), ordinary, seconds(1)) ==
          admission_decision::wait);
    it.end_transfer();
    CHECK(it.has_free_slot());
}

TEST_CASE("adaptive LIFO: fresh flows go before late ones, by urgency first")
{
    auto it = full_server();
    const auto now = seconds(10);
    it.push(now, flow(1), ordinary, now - milliseconds(500));
    it.push(now, flow(2), ordinary, now - milliseconds(200));
    it.push(now, flow(3), ordinary, now - milliseconds(20));
    it.push(now, flow(4), ordinary, now - milliseconds(10));
    it.push(now, flow(5), urgent, now);
    for (int n = 0; n < 5; ++n)
    {
        it.release_slot(std::nullopt);
    }
    CHECK(it.pop(now) == flow(5));
    CHECK(it.pop(now) == flow(3));
    CHECK(it.pop(now) == flow(4));
    CHECK(it.pop(now) == flow(2));
    CHECK(it.pop(now) == flow(1));
    CHECK_FALSE(it.pop(now).has_value());
}

TEST_CASE("late flows take only idle slots")
{
    auto it = full_server();
    const auto now = seconds(10);
    it.push(now, flow(1), ordinary, now - milliseconds(200));
    it.release_slot(std::nullopt);
    CHECK_FALSE(it.pop(now).has_value());
    it.release_slot(std::nullopt);
    CHECK_FALSE(it.pop(now).has_value());
    it.release_slot(std::nullopt);
    CHECK(it.pop(now) == flow(1));
}

TEST_CASE("CoDel's standing queue: an overload that lasts is refused at once")
{
    auto it = full_server();
    const auto start = seconds(10);
    const auto late = milliseconds(300);
    it.push(start, flow(1), ordinary, start - late);
    CHECK(it.decide(start, ordinary, start - late) == admission_decision::wait);
    const auto then = start + seconds(3);
    CHECK(it.decide(then, ordinary, then - late) == admission_decision::refuse);
    it.remove(flow(1));
    CHECK(it.decide(then, ordinary, then - late) == admission_decision::wait);
}

TEST_CASE("priority queue: late flows that wait do not hold up an urgent one")
{
    admission_settings settings;
    settings.late_flows_per_slot = 8;
    auto it = full_server(settings);
    const auto now = seconds(10);
    for (std::uint16_t port = 1; port <= 16; ++port)
    {
        it.push(now, flow(port), ordinary, now - milliseconds(300));
    }
    CHECK(it.decide(now, urgent, now) == admission_decision::wait);
    CHECK(it.decide(now, ordinary, now - milliseconds(300)) ==
          admission_decision::refuse);
    CHECK(it.expected_wait(now, urgent, now) == milliseconds(60));
}

// Power returns after more than a second and all callers ask at once (a queue
// bounded in time): who can be served before giving up waits, for a refused
// caller uses up its tries within milliseconds.
TEST_CASE("queue bounded in time: all who can be served in late_time may wait")
{
    const admission_settings settings;
    auto it = full_server(settings);
    const auto now = seconds(10);
    const auto asked = now - milliseconds(100);
    const auto can_be_served = static_cast<std::uint16_t>(
        2 * settings.queue_age_max.count / settings.initial_slot_time.count);
    for (std::uint16_t port = 1; port <= can_be_served; ++port)
    {
        REQUIRE(it.decide(now, ordinary, asked) == admission_decision::wait);
        it.push(now, flow(port), ordinary, asked);
    }
    CHECK(it.decide(now, ordinary, asked) == admission_decision::refuse);
}

TEST_CASE("a flow whose caller is about to give up is taken out")
{
    auto it = full_server();
    const auto now = seconds(10);
    it.push(now, flow(1), ordinary, now);
    it.push(now, flow(2), ordinary, now + milliseconds(500));
    const auto over = it.take_expired(now + milliseconds(1300));
    REQUIRE(over.size() == 1);
    CHECK(over.front() == flow(1));
    CHECK(it.waiting() == 1);
}

TEST_CASE("the expected wait follows the server's own pace")
{
    auto it = full_server();
    CHECK(it.expected_wait(seconds(1), ordinary, seconds(1)) ==
          milliseconds(60));
    for (int n = 0; n < 200; ++n)
    {
        it.release_slot(milliseconds(160));
        it.acquire_slot();
    }
    CHECK(it.expected_wait(seconds(1), ordinary, seconds(1)) >
          milliseconds(200));
}
