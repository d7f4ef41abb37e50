#include "tests/fakes/agent_fixture.hpp"

#include <algorithm>
#include <cmath>
#include <doctest/doctest.h>

using namespace briardrum;
using namespace briardrum::tests;

namespace
{

constexpr millis heartbeat_interval = milliseconds(900);
constexpr std::size_t slots = 2;

// A server with two slots and a queue in order of arrival, judged by the
// requests that it gets. Two thirds busy unless told otherwise.
struct judged_server
{
    explicit judged_server(std::uint64_t seed = 1) : random_(seed)
    {
        conduct.set_slots(slots);
    }

    auto run(millis span) -> void
    {
        const auto end = now + span;
        while (now < end)
        {
            now += milliseconds(1);
            if (random_.chance(requests_per_second / 1000))
            {
                receive();
            }
            work();
            if (alive && now >= next_heartbeat_)
            {
                next_heartbeat_ = now + heartbeat_interval;
                conduct.on_heartbeat(now);
            }
            if (now.count % 10 == 0)
            {
                const auto change = conduct.tick(now);
                found += change == conduct_change::became_faulty ? 1 : 0;
                recovered += change == conduct_change::recovered ? 1 : 0;
            }
        }
    }

    // Ends the process with all that it was asked; its flows are reset.
    auto kill() -> void
    {
        alive = false;
        for (const auto& it : running_)
        {
            conduct.on_broken_off(now, it.flow, opened_at);
        }
        for (const auto& flow : queue_)
        {
            conduct.on_broken_off(now, flow, opened_at);
        }
        running_.clear();
        queue_.clear();
    }

    auto start() -> void
    {
        alive = true;
        opened_at = now;
        conduct.on_replaced(now);
        next_heartbeat_ = now;
    }

    server_conduct conduct{true};
    millis now = seconds(100);
    millis opened_at;
    double requests_per_second = 60;
    double work_ms = 22;
    double mute_share = 0;
    double broken_share = 0;
    bool hangs = false;
    bool alive = true;
    int found = 0;
    int recovered = 0;

private:
    struct running_request
    {
        flow_key flow;
        millis ends_at;
    };

    auto receive() -> void
    {
        flow_key flow;
        flow.caller.address = ++last_flow_;
        conduct.on_request(now, flow, opened_at);
        if (!alive || random_.chance(mute_share))
        {
            return;
        }
        if (random_.chance(broken_share))
        {
            conduct.on_broken_off(now, flow, opened_at);
            return;
        }
        queue_.push_back(flow);
    }

    auto work() -> void
    {
        if (hangs)
        {
            return;
        }
        std::erase_if(running_,
                      [&](const running_request& it)
                      {
                          const auto ends = now >= it.ends_at;
                          if (ends)
                          {
                              conduct.on_answer(now, it.flow);
                          }
                          return ends;
                      });
        while (running_.size() < slots && !queue_.empty())
        {
            const auto span = work_ms * (0.5 + random_.unit());
            running_.push_back(
                {queue_.front(), now + milliseconds(std::llround(span))});
            queue_.pop_front();
        }
    }

    random_source random_;
    std::uint32_t last_flow_ = 0;
    std::deque<flow_key> queue_;
    std::vector<running_request> running_;
    millis next_heartbeat_;
};

// Long enough for the server's usual answer time to be known.
auto run_healthy(judged_server& it) -> void
{
    it.run(seconds(30));
    REQUIRE(it.found == 0);
    REQUIRE(it.conduct.answer_limit() == server_conduct::answer_limit_min);
}

// The window, and a heartbeat after it.
constexpr millis detection_time = seconds(3) + server_conduct::answer_limit_max;

auto judging_fixture(std::size_t others = 5) -> agent_fixture
{
    packet_agent_settings settings;
    settings.judge_server = true;
    return agent_fixture(others, settings);
}

// An agent whose server gets a request on another open flow every 100 ms and
// answers at once or not at all, with a heartbeat every 900 ms. Callers without
// an answer end their flows after a second and a half.
struct agent_day
{
    explicit agent_day(std::size_t others = 5) : it(judging_fixture(others))
    {
        it.heartbeat(++sequence);
    }

    auto run(int seconds_to_run, bool answered) -> void
    {
        for (int n = 0; n < seconds_to_run * 10; ++n)
        {
            const auto port = ++last_port;
            // A packet of the server makes the flow known as an open one.
            it.answer_by_server(port, false, 0);
            it.receive_from_balancer(it.data(port, 300));
            if (answered)
            {
                it.answer_by_server(port, false, 300);
            }
            else
            {
                waiting.push_back(port);
            }
            end_oldest_flow();
            it.advance_time(milliseconds(100));
            if (n % 9 == 8)
            {
                it.heartbeat(++sequence);
            }
        }
    }

    // Returns how many of the opening packets, one each 20 ms, reach the
    // server.
    auto count_started(millis span) -> std::uint64_t
    {
        const auto before = it.core->counters().started;
        const auto end = it.now + span;
        while (it.now < end)
        {
            const auto port = ++last_port;
            auto packet = it.opening(port);
            packet.label.hops = 0;
            it.receive_from_balancer(packet);
            if (!it.to_server.empty() && it.to_server.back().opens)
            {
                it.answer_by_server(port, true, 0);
            }
            it.advance_time(milliseconds(20));
            it.heartbeat(++sequence);
        }
        return it.core->counters().started - before;
    }

    auto weight() const -> int
    {
        return it.members->self().weight_percent;
    }

    auto count_events(const std::string& name) const -> std::size_t
    {
        return static_cast<std::size_t>(std::count_if(
            it.events.begin(), it.events.end(),
            [&](const std::string& line)
            {
                return line.find("event=" + name + " ") != std::string::npos;
            }));
    }

    agent_fixture it;
    std::uint64_t sequence = 0;
    std::uint16_t last_port = 0;
    std::deque<std::uint16_t> waiting;

private:
    auto end_oldest_flow() -> void
    {
        if (waiting.size() > 15)
        {
            auto reset = it.data(waiting.front(), 0);
            reset.resets = true;
            it.receive_from_balancer(reset);
            waiting.pop_front();
        }
    }
};

} // namespace

// Guards against a fault that is overlooked: the health check of each of these
// servers passes.
TEST_CASE("a server that answers nothing to half of its requests is faulty")
{
    judged_server it;
    run_healthy(it);
    it.mute_share = 0.6;
    it.run(detection_time);
    CHECK(it.conduct.is_faulty());
    // Open flows still bring requests, of which some are answered.
    it.run(seconds(1));
    CHECK(it.conduct.is_faulty());
}

TEST_CASE("a server that hangs is faulty")
{
    judged_server it;
    run_healthy(it);
    it.hangs = true;
    it.run(detection_time);
    CHECK(it.conduct.is_faulty());
}

TEST_CASE("a server that breaks off half of its requests is faulty")
{
    judged_server it;
    run_healthy(it);
    it.broken_share = 0.6;
    it.run(detection_time);
    CHECK(it.conduct.is_faulty());
    CHECK(it.conduct.report().broken_off > 8);
}

// Guards against a slow server that seems healthy as soon as it has less to do.
TEST_CASE("a server eight times slower than before is faulty until it is fast")
{
    judged_server it;
    run_healthy(it);
    it.work_ms *= 8;
    it.run(detection_time);
    CHECK(it.conduct.is_faulty());
    it.requests_per_second = 2;
    it.run(seconds(30));
    CHECK(it.conduct.is_faulty());
    CHECK(it.recovered == 0);
    it.work_ms /= 8;
    // Eight requests have arrived by then, at two a second.
    it.run(seconds(15));
    CHECK_FALSE(it.conduct.is_faulty());
}

// Guards against judgements that come from chance.
TEST_CASE("a server that answers is not faulty, nor one that misses a few")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        CAPTURE(seed);
        judged_server it(seed);
        run_healthy(it);
        it.mute_share = 0.2;
        it.run(seconds(60));
        CHECK(it.found == 0);
    }
}

// Guards against an overloaded server that is given less to do: the others,
// which have as much to do, would get its share.
TEST_CASE("a server with 130 % load is not faulty")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        CAPTURE(seed);
        judged_server it(seed);
        run_healthy(it);
        it.requests_per_second = 1.3 * slots * 1000 / it.work_ms;
        it.run(seconds(10));
        CHECK(it.conduct.report().pending > 100);
        CHECK(it.found == 0);
    }
}

// Guards against a server that is taken for faulty because it is cold.
TEST_CASE("a server that has been restarted and is cold is not faulty")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        CAPTURE(seed);
        judged_server it(seed);
        run_healthy(it);
        it.kill();
        it.run(seconds(2));
        it.start();
        // Nine tenths of what it can do while it is cold.
        it.work_ms *= 5;
        it.requests_per_second = 0.9 * slots * 1000 / it.work_ms;
        it.run(seconds(20));
        it.work_ms /= 5;
        it.run(seconds(10));
        CHECK(it.found == 0);
    }
}

// Guards against a new process that has its predecessor's judgement.
TEST_CASE("a restart ends the judgement of a faulty server")
{
    judged_server it;
    run_healthy(it);
    it.hangs = true;
    it.run(detection_time);
    REQUIRE(it.conduct.is_faulty());
    it.hangs = false;
    it.kill();
    it.run(seconds(1));
    // Nothing that it answers can have ended the judgement.
    it.requests_per_second = 0;
    it.start();
    it.run(milliseconds(20));
    CHECK(it.recovered == 1);
    CHECK_FALSE(it.conduct.is_faulty());
}

// Guards against faults that are in the way to the server, or in the agent.
TEST_CASE("what happened while the agent did not run is not judged")
{
    judged_server it;
    run_healthy(it);
    for (std::uint32_t n = 1; n <= 20; ++n)
    {
        flow_key flow;
        flow.caller = {1, static_cast<std::uint16_t>(n)};
        it.conduct.on_request(it.now, flow, it.opened_at);
    }
    it.now += seconds(3);
    it.conduct.tick(it.now);
    it.conduct.on_heartbeat(it.now);
    CHECK(it.conduct.tick(it.now) == conduct_change::none);
    CHECK(it.conduct.report().pending >= 20);
}

// Guards against a single failure that decides, and a single answer.
TEST_CASE("a server recovers after eight answers in a row")
{
    judged_server it;
    run_healthy(it);
    it.hangs = true;
    it.run(detection_time);
    REQUIRE(it.conduct.is_faulty());
    it.requests_per_second = 0;
    it.run(seconds(6));
    CHECK(it.conduct.lacks_requests(it.now));
    for (std::uint16_t n = 1; n <= 8; ++n)
    {
        CHECK(it.conduct.is_faulty());
        flow_key flow;
        flow.caller = {1, n};
        it.conduct.on_request(it.now, flow, it.opened_at);
        CHECK_FALSE(it.conduct.lacks_requests(it.now));
        it.now += milliseconds(20);
        it.conduct.on_answer(it.now, flow);
        it.now += milliseconds(20);
        it.conduct.tick(it.now);
    }
    CHECK_FALSE(it.conduct.is_faulty());
}

// Guards against flows that go on arriving at a faulty server, and against one
// that is never tried again.
TEST_CASE("an agent gives a faulty server a probe flow every 500 ms only")
{
    agent_day day;
    day.run(8, true);
    REQUIRE(day.weight() == 100);
    CHECK(day.count_started(seconds(1)) > 20);
    for (int n = 0; n < 5 && day.weight() == 100; ++n)
    {
        day.run(1, false);
    }
    CHECK(day.count_events("server_faulty") == 1);
    CHECK(day.weight() == conduct_bound::weight_announced);
    CHECK(day.count_events("intake_reduced") == 0);
    day.run(1, false);
    CHECK(day.weight() == conduct_bound::weight_reduced);
    CHECK(day.count_events("intake_reduced") == 1);
    // The callers that got no answer are gone.
    while (!day.waiting.empty())
    {
        day.it.reset_by_server(day.waiting.front());
        day.waiting.pop_front();
    }
    const auto probes = day.count_started(seconds(5));
    CHECK(probes >= 9);
    CHECK(probes <= 11);
    CHECK(day.it.count_labelled(label_kind::offer) > 200);
    day.run(2, true);
    CHECK(day.count_events("server_recovered") == 1);
    CHECK(day.weight() == conduct_bound::weight_normal);
    CHECK(day.count_started(seconds(1)) > 20);
}

TEST_CASE("servers are not judged unless the settings say so")
{
    agent_day day;
    day.it.core.reset();
    packet_agent_settings settings;
    settings.service_name = "orders";
    packet_hooks hooks;
    hooks.send_to_server = [](const flow_packet&) {};
    hooks.send_to_caller = [](const flow_packet&) {};
    hooks.send_notice = [](const endpoint&, const endpoint&, const endpoint&,
                           const packet_label&) {};
    day.it.core = std::make_unique<packet_agent>(*day.it.members, settings,
                                                 std::move(hooks), day.it.now);
    day.it.heartbeat(++day.sequence);
    day.run(10, false);
    CHECK(day.weight() == 100);
    CHECK_FALSE(day.it.core->conduct().is_faulty());
}

// Guards against a restarted agent that goes on with its predecessor's
// judgement, or that never finds the server faulty again.
TEST_CASE("a restarted agent judges its server anew")
{
    agent_day before;
    before.run(8, true);
    before.run(6, false);
    REQUIRE(before.weight() == conduct_bound::weight_reduced);
    agent_day after;
    CHECK(after.weight() == 100);
    CHECK(after.count_started(seconds(1)) > 20);
    after.run(6, false);
    CHECK(after.weight() == conduct_bound::weight_reduced);
}

// Guards against callers whose silence counts against the server: they are
// gone before the request was complete, or while they received the answer.
TEST_CASE("a caller that vanishes does not count against the server")
{
    agent_day day;
    day.run(8, true);
    for (std::uint16_t port = 1001; port <= 1040; ++port)
    {
        auto& it = day.it;
        it.answer_by_server(port, false, 0);
        it.receive_from_balancer(it.data(port, 300));
        it.answer_by_server(port, false, 300);
        if (port % 2 == 0)
        {
            // The middle of a request is lost, and the caller is gone.
            it.receive_from_balancer(it.data(port, 1200));
            it.data(port, 1200);
            it.receive_from_balancer(it.data(port, 300));
        }
    }
    day.it.advance_time(milliseconds(1500));
    for (std::uint16_t port = 1001; port <= 1040; ++port)
    {
        day.it.reset_by_server(port);
    }
    day.it.heartbeat(++day.sequence);
    day.it.advance_time(milliseconds(20));
    CHECK(day.it.core->conduct().report().unanswered == 0);
    CHECK(day.it.core->conduct().report().broken_off == 0);
    CHECK(day.count_events("server_faulty") == 0);
}

TEST_CASE("a server that resets flows while callers receive is faulty")
{
    agent_day day;
    day.run(8, true);
    for (std::uint16_t port = 1001; port <= 1040; ++port)
    {
        auto& it = day.it;
        it.answer_by_server(port, false, 0);
        it.receive_from_balancer(it.data(port, 300));
        it.answer_by_server(port, false, 1200);
        it.receive_from_balancer(it.data(port, 0));
        it.reset_by_server(port);
    }
    CHECK(day.it.core->conduct().report().broken_off == 40);
    day.it.heartbeat(++day.sequence);
    day.it.advance_time(milliseconds(20));
    CHECK(day.count_events("server_faulty") == 1);
}

namespace
{

// Agents of one service whose records reach each other late.
struct bounded_service
{
    bounded_service(std::size_t size, std::uint64_t seed, millis delay)
        : delay_max(delay), random(seed), faulty(size, false),
          seen(size, std::vector<std::uint8_t>(size, 100))
    {
        for (std::size_t n = 0; n < size; ++n)
        {
            agents.emplace_back(n + 1);
        }
    }

    auto step() -> void
    {
        now += interval;
        for (const auto& it : arrivals[now.count])
        {
            seen[it.to][it.from] = it.weight;
        }
        arrivals.erase(now.count);
        for (std::size_t n = 0; n < agents.size(); ++n)
        {
            std::vector<conduct_peer> others;
            for (std::size_t m = 0; m < agents.size(); ++m)
            {
                if (m != n)
                {
                    others.push_back({m + 1, seen[n][m]});
                }
            }
            const auto before = agents[n].weight_percent();
            agents[n].update(now, faulty[n], false, others);
            if (agents[n].weight_percent() != before)
            {
                announce(n);
            }
        }
    }

    auto count_reduced() const -> std::size_t
    {
        return static_cast<std::size_t>(
            std::count_if(agents.begin(), agents.end(),
                          [](const conduct_bound& it)
                          {
                              return it.is_reduced();
                          }));
    }

    // Runs for this long and returns the longest time for which more agents
    // than this were reduced without a break.
    auto run(millis span, std::size_t reduced_max) -> millis
    {
        millis longest;
        millis over;
        const auto end = now + span;
        while (now < end)
        {
            step();
            over = count_reduced() > reduced_max ? over + interval : millis{};
            longest = std::max(longest, over);
        }
        return longest;
    }

    static constexpr millis interval = milliseconds(20);

    struct arrival
    {
        std::size_t from = 0;
        std::size_t to = 0;
        std::uint8_t weight = 100;
    };

    millis now = seconds(100);
    millis delay_max;
    random_source random;
    std::vector<conduct_bound> agents;
    std::vector<bool> faulty;
    std::vector<std::vector<std::uint8_t>> seen;
    std::map<std::int64_t, std::vector<arrival>> arrivals;
    int changes = 0;

private:
    // A weight changes at most once a second, so later records do not overtake.
    auto announce(std::size_t from) -> void
    {
        ++changes;
        const auto steps_max =
            static_cast<std::uint64_t>(delay_max.count / interval.count);
        for (std::size_t to = 0; to < agents.size(); ++to)
        {
            const auto steps =
                static_cast<std::int64_t>(1 + random.below(steps_max));
            arrivals[(now + interval * steps).count].push_back(
                {from, to, agents[from].weight_percent()});
        }
    }
};

constexpr std::size_t service_size = 40;
constexpr std::size_t third = service_size / 3;
constexpr int seeds = 100;

} // namespace

// Guards against a service that loses too many of its servers to judgements of
// agents that do not know of each other yet.
TEST_CASE("at most a third of 40 agents reduce their intake")
{
    for (int seed = 1; seed <= seeds; ++seed)
    {
        CAPTURE(seed);
        bounded_service it(service_size, static_cast<std::uint64_t>(seed),
                           milliseconds(900));
        std::size_t marked = 0;
        millis longest;
        while (marked < 18)
        {
            const auto next = it.random.below(service_size);
            marked += it.faulty[next] ? 0 : 1;
            it.faulty[next] = true;
            const auto pause = milliseconds(
                20 + static_cast<std::int64_t>(it.random.below(400)));
            longest = std::max(longest, it.run(pause, third));
        }
        longest = std::max(longest, it.run(seconds(6), third));
        CHECK(longest <= seconds(1));
        CHECK(it.count_reduced() == third);
        // The next ones take the places of those that recover.
        for (std::size_t n = 0, healed = 0; healed < 5; ++n)
        {
            healed += it.faulty[n] ? 1 : 0;
            it.faulty[n] = false;
        }
        CHECK(it.run(seconds(6), third) <= seconds(1));
        CHECK(it.count_reduced() == third);
        const auto before = it.changes;
        it.run(seconds(6), third);
        CHECK(it.changes == before);
    }
}

// Guards against a fault behind all servers that takes a third of them out of
// service, as a network that is cut or a store that all of them use.
TEST_CASE("no agent reduces its intake when all find their servers faulty")
{
    for (int seed = 1; seed <= seeds; ++seed)
    {
        CAPTURE(seed);
        bounded_service it(service_size, static_cast<std::uint64_t>(seed),
                           milliseconds(600));
        for (std::size_t n = 0; n < service_size; ++n)
        {
            it.faulty[n] = true;
            if (n % 2 == 0)
            {
                it.run(milliseconds(20), 0);
            }
        }
        CHECK(it.run(seconds(10), 0) == millis{});
    }
}

// Guards against a slow start of the same fault, in which the first agents have
// reduced their intake before the others find their servers faulty.
TEST_CASE("agents return when more than half find their servers faulty")
{
    bounded_service it(service_size, 1, milliseconds(900));
    std::fill_n(it.faulty.begin(), 10, true);
    it.run(seconds(5), third);
    REQUIRE(it.count_reduced() == 10);
    std::fill_n(it.faulty.begin(), 21, true);
    it.run(seconds(2), third);
    CHECK(it.count_reduced() == 0);
}

// Guards against a weight that changes with every judgement: each change is
// sent to all members and makes them compute the order of their flows again.
TEST_CASE("the weight changes at most once a second")
{
    bounded_service it(3, 1, milliseconds(100));
    for (int n = 0; n < 100; ++n)
    {
        it.faulty[0] = !it.faulty[0];
        it.run(milliseconds(100), 1);
    }
    CHECK(it.changes <= 11);
    CHECK(it.changes > 0);
}

namespace
{

auto order_at(agent_fixture& it, std::uint16_t port) -> std::vector<member_id>
{
    flow_key flow;
    flow.caller = {0x64400001, port};
    service_candidates candidates;
    candidates.refresh(*it.members, "orders");
    return rendezvous_order(flow, candidates.serving());
}

} // namespace

// Guards against weights that move flows although no server is faulty, and
// against ones that move none.
TEST_CASE("the order follows the weights of the records")
{
    agent_fixture it(5);
    it.heartbeat(1);
    std::vector<candidate> slots_only;
    for (const auto id : it.members->agents_of("orders"))
    {
        slots_only.push_back({id, it.members->find(id)->slots});
    }
    const auto reduced = it.record_of(1).id;
    std::size_t was_first = 0;
    for (std::uint16_t port = 1; port <= 3000; ++port)
    {
        flow_key flow;
        flow.caller = {0x64400001, port};
        const auto order = order_at(it, port);
        CHECK(order == rendezvous_order(flow, slots_only));
        was_first += order.front() == reduced ? 1 : 0;
    }
    CHECK(was_first > 400);
    auto record = it.record_of(1);
    record.weight_percent = 1;
    ++record.version;
    it.announce(record);
    std::size_t is_first = 0;
    for (std::uint16_t port = 1; port <= 3000; ++port)
    {
        is_first += order_at(it, port).front() == reduced ? 1 : 0;
    }
    CHECK(is_first > 0);
    CHECK(is_first < 30);
}
