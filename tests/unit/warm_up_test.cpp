#include "bench/rig/packets/packet_fleet.hpp"
#include "tests/fakes/agent_fixture.hpp"

#include <algorithm>
#include <doctest/doctest.h>

using namespace briardrum;
using namespace briardrum::tests;

namespace
{

constexpr double overshoot = 1.5;
constexpr double slack = 5;
constexpr double rate = 10;
// warmupPerS + bounds.warmupSlack, and what the operators allow.
constexpr std::size_t own_limit = 15;
constexpr std::size_t operator_limit = 20;
// Half of the slack, for an agent that has just started.
constexpr std::size_t limit_after_restart = 2;
constexpr millis second = seconds(1);

auto limited_settings() -> packet_agent_settings
{
    packet_agent_settings out;
    out.warm_up_overshoot = overshoot;
    out.warm_up_slack = slack;
    // Slots are no limit in these tests.
    out.admission.overcommit_offered = 1000;
    out.admission.overcommit_settled = 1000;
    return out;
}

// The largest number of times within any second.
auto most_in_a_second(const std::vector<millis>& times) -> std::size_t
{
    std::size_t out = 0;
    std::size_t first = 0;
    for (std::size_t n = 0; n < times.size(); ++n)
    {
        while (times[n] - times[first] > second)
        {
            ++first;
        }
        out = std::max(out, n - first + 1);
    }
    return out;
}

// An agent that has run for longer than a second beside a cold server.
struct cold_agent : agent_fixture
{
    explicit cold_agent(std::size_t others = 0, millis warm_up = minutes(1))
        : agent_fixture(others, limited_settings())
    {
        core->set_warm_up_rate(now, rate);
        now += milliseconds(1001);
        cold_heartbeat(1, warm_up);
    }

    auto cold_heartbeat(std::uint64_t sequence, millis warm_up)
        -> heartbeat_outcome
    {
        server_heartbeat it;
        it.server_id = "server";
        it.service_name = "orders";
        it.slots = 2;
        it.sequence = sequence;
        it.started_at = seconds(100);
        it.warm_up_left = warm_up;
        return core->on_heartbeat(now, it);
    }

    // Offers this many new flows and returns how many opening packets reached
    // the server.
    auto openings_of(std::uint16_t count) -> std::size_t
    {
        const auto before = to_server.size();
        for (std::uint16_t n = 0; n < count; ++n)
        {
            receive_from_balancer(opening(++port));
        }
        return to_server.size() - before;
    }

    // The server answers what it was sent.
    auto answer() -> void
    {
        for (; answered < to_server.size(); ++answered)
        {
            accept_by_server(to_server[answered].source.port, 5000);
        }
    }

    auto run(millis span) -> void
    {
        constexpr auto step = milliseconds(20);
        for (const auto end = now + span; now < end;)
        {
            advance_time(step);
            answer();
        }
    }

    auto count_events(const std::string& name) const -> std::ptrdiff_t
    {
        return std::count_if(events.begin(), events.end(),
                             [&](const std::string& line)
                             {
                                 return line.find("event=" + name + " ") !=
                                        std::string::npos;
                             });
    }

    std::uint16_t port = 0;
    std::size_t answered = 0;
};

// 43 servers in three data centres. Those of the first, 15 of them, have
// vanished and return cold; callers ask for 130 % of what all can serve.
struct herd
{
    static constexpr std::uint32_t servers = 43;
    static constexpr std::size_t data_centres = 3;
    static constexpr millis lost_at = seconds(4);
    static constexpr millis back_at = seconds(6);
    static constexpr millis cold_time = seconds(4);

    herd() : fleet(settings())
    {
        fleet.run_until(lost_at - second);
        fleet.start_load();
        fleet.run_until(lost_at);
        for (std::size_t n = 0; n < servers; n += data_centres)
        {
            fleet.lose_server(n);
            cold.push_back(n);
        }
        fleet.run_until(back_at);
        for (const auto n : cold)
        {
            fleet.start_server(n);
        }
    }

    static auto settings() -> rig::packet_fleet_settings
    {
        constexpr std::uint32_t slots = 2;
        constexpr double load = 1.3;
        rig::packet_load it;
        it.name = "feed";
        it.route = {0xc6120001, 443};
        it.service_name = "feed";
        it.work = milliseconds(40);
        it.per_second = load * servers * slots * 1000 / 40;
        rig::packet_fleet_settings out;
        out.services = {{"feed", servers, slots}};
        out.loads = {it};
        out.server.cold_time = cold_time;
        out.agent.warm_up_overshoot = overshoot;
        out.agent.warm_up_slack = slack;
        out.warm_up_rate = rate;
        return out;
    }

    rig::packet_fleet fleet;
    std::vector<std::size_t> cold;
};

} // namespace

// Guards against: a data centre that returns cold is given the backlog of
// callers at once, as its servers are the only ones with free slots.
TEST_CASE("warm-up: a cold data centre is not overrun by a herd of openings")
{
    herd it;
    REQUIRE(it.cold.size() == 15);
    it.fleet.run_until(herd::back_at + herd::cold_time);
    for (const auto n : it.cold)
    {
        CAPTURE(n);
        const auto& openings = it.fleet.server(n).openings();
        const auto most = most_in_a_second(openings);
        CHECK(most <= own_limit);
        // The limit is used: servers are given what they may get.
        CHECK(openings.size() >= rate * herd::cold_time.count / 1000 / 2);
    }
    CHECK(it.fleet.broken_flows() == 0);
    // Once warm, the servers are given as many flows as the others.
    it.fleet.run_until(herd::back_at + herd::cold_time + seconds(3));
    for (const auto n : it.cold)
    {
        CAPTURE(n);
        CHECK(most_in_a_second(it.fleet.server(n).openings()) > own_limit);
    }
}

// Guards against: a limit that is reset at fixed seconds, or that forgets an
// opening too early, allows twice the number across a boundary.
TEST_CASE("warm-up: no sliding second holds more openings than allowed")
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed)
    {
        CAPTURE(seed);
        random_source random(seed);
        warm_up_limit limit(warm_up_settings{overshoot, slack}, millis{});
        const auto per_second =
            static_cast<double>(random.below(40'000) + 1) / 1000;
        limit.set_rate(per_second);
        auto now = seconds(10);
        limit.on_heartbeat(now, minutes(10));
        std::vector<millis> sent;
        std::uint64_t wrong_waits = 0;
        for (int n = 0; n < 2000; ++n)
        {
            // Bursts, with pauses of up to three seconds between them.
            const auto pause = random.chance(0.01) ? 3000 : 10;
            now += milliseconds(static_cast<std::int64_t>(random.below(
                static_cast<std::uint64_t>(random.chance(0.5) ? 1 : pause))));
            const auto allowed = limit.allows_opening(now);
            const auto wait = limit.expected_wait(now, 0);
            wrong_waits += allowed == (wait == millis{}) ? 0 : 1;
            wrong_waits += limit.allows_opening(now + wait) ? 0 : 1;
            if (allowed)
            {
                limit.on_opening_sent(now);
                sent.push_back(now);
            }
        }
        const auto most = most_in_a_second(sent);
        CHECK(most <= static_cast<std::size_t>(per_second + slack));
        CHECK(most + 1 > per_second + slack);
        CHECK(wrong_waits == 0);
    }
}

// Guards against: an agent that restarts forgets what its predecessor sent in
// the same second.
TEST_CASE("warm-up: an agent restarted within a cold second sends few openings")
{
    for (std::int64_t after = 0; after <= 1000; after += 100)
    {
        CAPTURE(after);
        cold_agent it;
        CHECK(it.openings_of(40) == own_limit);
        agent_fixture next(0, limited_settings());
        next.core->set_warm_up_rate(next.now, rate);
        server_heartbeat heartbeat;
        heartbeat.server_id = "server";
        heartbeat.service_name = "orders";
        heartbeat.sequence = 2;
        heartbeat.warm_up_left = seconds(30);
        next.now += milliseconds(after);
        next.core->on_heartbeat(next.now, heartbeat);
        for (std::uint16_t port = 1; port <= 40; ++port)
        {
            next.receive_from_balancer(next.opening(port));
        }
        CHECK(next.to_server.size() == limit_after_restart);
        CHECK(own_limit + next.to_server.size() <= operator_limit);
    }
}

// Guards against: half of the slack is more than the overshoot leaves for a
// service with a low rate, and an unknown rate may be a low one.
TEST_CASE("warm-up: what a restarted agent sends fits the reserve of its rate")
{
    constexpr double low_rate = 2.5;
    const auto start = seconds(50);
    warm_up_limit limit(warm_up_settings{overshoot, slack}, start);
    limit.on_heartbeat(start, minutes(1));
    CHECK(limit.allowance(start) == 0);
    CHECK(limit.allowance(start + milliseconds(1001)) == limit_after_restart);
    limit.set_rate(low_rate);
    const auto predecessor = limit.allowance(start + milliseconds(1001));
    CHECK(predecessor == 7);
    const auto bound = low_rate * overshoot + slack;
    CHECK(static_cast<double>(predecessor + limit.allowance(start)) <= bound);
    CHECK(limit.allowance(start) == 1);
    // No limit for a service without a rate.
    limit.set_rate(std::nullopt);
    CHECK_FALSE(limit.is_limited(start));
}

// Guards against: a delayed heartbeat, which states more time, extends the
// warm-up; the newest one is ignored because it states more time.
TEST_CASE("warm-up: its end follows from the newest heartbeat only")
{
    cold_agent it(0, seconds(20));
    const auto start = it.now;
    const auto ends_at = [&](millis span)
    {
        it.now = start + span;
        // A packet of another flow: the server is alive.
        it.accept_by_server(9000, 5000);
        const auto limited = it.openings_of(40) == own_limit;
        const auto sent = it.to_server.size();
        it.now += milliseconds(1);
        it.core->tick(it.now);
        return limited && it.to_server.size() == sent + 40 - own_limit;
    };
    it.now += seconds(1);
    // A heartbeat that contradicts the time so far counts once it is repeated.
    SUBCASE("a smaller remaining time ends it earlier")
    {
        it.cold_heartbeat(3, seconds(2));
        it.cold_heartbeat(4, seconds(2));
        CHECK(ends_at(seconds(3)));
    }
    SUBCASE("a larger remaining time of newer heartbeats counts")
    {
        it.cold_heartbeat(3, seconds(30));
        it.cold_heartbeat(4, seconds(30));
        CHECK(ends_at(seconds(31)));
    }
    SUBCASE("a single heartbeat with another time changes nothing")
    {
        it.cold_heartbeat(3, seconds(2));
        it.cold_heartbeat(4, seconds(19));
        it.cold_heartbeat(5, seconds(30));
        it.cold_heartbeat(6, seconds(19));
        CHECK(ends_at(seconds(20)));
    }
    SUBCASE("an older heartbeat changes nothing")
    {
        it.cold_heartbeat(3, seconds(2));
        it.cold_heartbeat(4, seconds(2));
        CHECK(it.cold_heartbeat(2, seconds(30)) == heartbeat_outcome::late);
        CHECK(ends_at(seconds(3)));
    }
    SUBCASE("a warm server is not limited")
    {
        it.cold_heartbeat(3, millis{});
        it.cold_heartbeat(4, millis{});
        CHECK(it.openings_of(40) == 40);
    }
}

// Guards against: copies of opening packets reach the server without being
// counted, or although the limit is used up.
TEST_CASE("warm-up: copies of opening packets count and are held back")
{
    constexpr std::uint16_t flows = 10;
    cold_agent it(2);
    for (std::uint16_t port = 1; port <= flows; ++port)
    {
        it.receive_from_balancer(it.opening(port));
    }
    REQUIRE(it.to_server.size() == flows);
    it.accept_by_server(1, 5000);
    it.now += milliseconds(120);
    // Five copies fill the limit; the other flows and their copies are held
    // back. The flow that the server answered stays, and only its copy is
    // dropped.
    for (const std::uint16_t port : {2, 3, 4, 5, 6, 7, 8, 9, 10, 1})
    {
        it.receive_from_balancer(it.opening(port, 1));
    }
    for (std::uint16_t port = 20; port <= 30; ++port)
    {
        it.receive_from_balancer(it.opening(port));
        it.receive_from_balancer(it.opening(port, 1));
    }
    CHECK(it.to_server.size() == own_limit);
    CHECK(it.core->counters().warm_up_openings == own_limit);
    CHECK(it.core->counters().openings_held_back > 0);
    // Packets of the answered flow still reach the server.
    auto packet = it.data(1, 300);
    packet.acknowledged = 5001;
    it.receive_from_balancer(packet);
    CHECK(it.to_server.size() == own_limit + 1);
}

// Guards against: openings that are held back are dropped, or wait at a cold
// server although another agent may take them.
TEST_CASE("warm-up: an opening beyond the limit is offered to another agent")
{
    cold_agent it(2);
    CHECK(it.openings_of(own_limit) == own_limit);
    auto packet = it.opening(100);
    packet.label.hops = 0;
    it.receive_from_balancer(packet);
    REQUIRE(it.count_labelled(label_kind::offer) == 1);
    // The wait for the limit, in units of 4 ms, is told to the next agent.
    CHECK(it.sent.back().label.best_wait >= 1000 / 4);
    CHECK(it.core->admission().waiting() == 0);
}

// Guards against: a flow that waits for the limit is forgotten, or starts while
// the second has not passed.
TEST_CASE("warm-up: a queued flow starts when the second has passed")
{
    cold_agent it;
    CHECK(it.openings_of(own_limit) == own_limit);
    it.answer();
    it.run(milliseconds(400));
    auto packet = it.opening(100);
    packet.label.kind = label_kind::settle;
    it.receive_from_balancer(packet);
    REQUIRE(it.core->admission().waiting() == 1);
    it.run(milliseconds(600));
    CHECK(it.to_server.size() == own_limit);
    it.run(milliseconds(20));
    CHECK(it.to_server.size() == own_limit + 1);
    CHECK(it.to_server.back().source.port == 100);
}

// Guards against: more flows are queued for a cold server than it may be given
// before their callers give up.
TEST_CASE("warm-up: an opening that would wait too long is refused at once")
{
    cold_agent it;
    CHECK(it.openings_of(200) == own_limit);
    CHECK(it.core->admission().waiting() == own_limit);
    CHECK(it.resets.size() == 200 - 2 * own_limit);
    it.answer();
    it.run(milliseconds(1020));
    CHECK(it.to_server.size() == 2 * own_limit);
    CHECK(it.core->counters().expired == 0);
}

// Guards against: a server restarted between two heartbeats is taken for warm.
TEST_CASE("warm-up: after a refusal the limit counts until a heartbeat")
{
    cold_agent it(0, millis{});
    CHECK(it.openings_of(1) == 1);
    it.reset_by_server(1);
    it.now += milliseconds(300);
    CHECK(it.openings_of(40) == own_limit - 1);
    it.cold_heartbeat(2, millis{});
    it.core->tick(it.now);
    CHECK(it.core->admission().waiting() == 0);
    CHECK(it.openings_of(40) == 40);
}

// Guards against: deployments without the setting are limited.
TEST_CASE("warm-up: nothing changes without an overshoot in the settings")
{
    auto settings = limited_settings();
    settings.warm_up_overshoot.reset();
    agent_fixture it(0, settings);
    it.core->set_warm_up_rate(it.now, rate);
    server_heartbeat heartbeat;
    heartbeat.server_id = "server";
    heartbeat.service_name = "orders";
    heartbeat.sequence = 1;
    heartbeat.warm_up_left = minutes(1);
    it.core->on_heartbeat(it.now, heartbeat);
    for (std::uint16_t port = 1; port <= 100; ++port)
    {
        it.receive_from_balancer(it.opening(port));
    }
    CHECK(it.to_server.size() == 100);
    CHECK(it.core->counters().openings_held_back == 0);
    it.advance_time(seconds(3));
    CHECK(std::none_of(it.events.begin(), it.events.end(),
                       [](const std::string& line)
                       {
                           return line.find("warm_up") != std::string::npos;
                       }));
}

// Guards against: a herd of openings floods the log, or its counts are missing.
TEST_CASE("warm-up: its start, its end and held openings are logged, bounded")
{
    cold_agent it(0, seconds(5));
    // The limit counts before the first heartbeat, too.
    CHECK(it.count_events("warm_up_started cause=server_not_heard") == 1);
    CHECK(it.count_events("warm_up_started cause=heartbeat") == 1);
    for (int n = 0; n < 50; ++n)
    {
        it.openings_of(100);
        it.answer();
        it.run(milliseconds(100));
    }
    it.run(seconds(1));
    CHECK(it.count_events("warm_up_started") == 2);
    CHECK(it.count_events("warm_up_ended") == 1);
    CHECK(it.count_events("openings_held_back") <= 6);
    CHECK(it.count_events("openings_held_back") >= 5);
    const auto& counters = it.core->counters();
    const auto ended =
        std::find_if(it.events.begin(), it.events.end(),
                     [](const std::string& line)
                     {
                         return line.find("warm_up_ended") != std::string::npos;
                     });
    REQUIRE(ended != it.events.end());
    CAPTURE(*ended);
    CHECK(ended->find("openings=" + std::to_string(counters.warm_up_openings) +
                      " ") != std::string::npos);
    CHECK(ended->find("held_back=" +
                      std::to_string(counters.openings_held_back)) !=
          std::string::npos);
}
