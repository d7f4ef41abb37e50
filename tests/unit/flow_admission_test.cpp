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
        out.occupy();
    }
    return out;
}

} // namespace

TEST_CASE("bounded concurrency: free slots first, an allowance as last resort")
{
    flow_admission it({});
    it.set_slots(2);
    it.occupy();
    it.occupy();
    CHECK(it.has_free_slot());
    it.occupy();
    CHECK_FALSE(it.has_free_slot());
    CHECK(it.settle(seconds(1), ordinary, seconds(1)) ==
          admission_verdict::start);
    it.occupy();
    it.occupy();
    CHECK(it.settle(seconds(1), ordinary, seconds(1)) ==
          admission_verdict::wait);
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
    CHECK(it.settle(seconds(1), ordinary, seconds(1)) ==
          admission_verdict::wait);
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
        it.vacate(std::nullopt);
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
    it.vacate(std::nullopt);
    CHECK_FALSE(it.pop(now).has_value());
    it.vacate(std::nullopt);
    CHECK_FALSE(it.pop(now).has_value());
    it.vacate(std::nullopt);
    CHECK(it.pop(now) == flow(1));
}

TEST_CASE("CoDel's standing queue: an overload that lasts is refused at once")
{
    auto it = full_server();
    const auto start = seconds(10);
    const auto late = milliseconds(300);
    it.push(start, flow(1), ordinary, start - late);
    CHECK(it.settle(start, ordinary, start - late) == admission_verdict::wait);
    const auto then = start + seconds(3);
    CHECK(it.settle(then, ordinary, then - late) == admission_verdict::refuse);
    it.remove(flow(1));
    CHECK(it.settle(then, ordinary, then - late) == admission_verdict::wait);
}

TEST_CASE("priority queue: late flows that wait do not hold up an urgent one")
{
    admission_settings settings;
    settings.late_per_slot = 8;
    auto it = full_server(settings);
    const auto now = seconds(10);
    for (std::uint16_t port = 1; port <= 16; ++port)
    {
        it.push(now, flow(port), ordinary, now - milliseconds(300));
    }
    CHECK(it.settle(now, urgent, now) == admission_verdict::wait);
    CHECK(it.settle(now, ordinary, now - milliseconds(300)) ==
          admission_verdict::refuse);
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
        2 * settings.late_time.count / settings.slot_time_first.count);
    for (std::uint16_t port = 1; port <= can_be_served; ++port)
    {
        REQUIRE(it.settle(now, ordinary, asked) == admission_verdict::wait);
        it.push(now, flow(port), ordinary, asked);
    }
    CHECK(it.settle(now, ordinary, asked) == admission_verdict::refuse);
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
        it.vacate(milliseconds(160));
        it.occupy();
    }
    CHECK(it.expected_wait(seconds(1), ordinary, seconds(1)) >
          milliseconds(200));
}
