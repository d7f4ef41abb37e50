#include "tests/fakes/membership_fleet.hpp"

#include <doctest/doctest.h>

using namespace briardrum;
using namespace briardrum::tests;

namespace
{

// Twelve agents in two data centres that have converged.
struct converged_fleet
{
    explicit converged_fleet(std::uint64_t seed, network_faults faults = {})
        : fleet(seed, faults)
    {
        for (std::uint32_t n = 1; n <= 12; ++n)
        {
            fleet.start(make_agent(n, "orders",
                                   n % 2 == 0 ? "plovdiv-a" : "plovdiv-b"));
        }
        fleet.run(seconds(10));
        REQUIRE(fleet.converged());
    }

    auto id(std::size_t index) -> member_id
    {
        return fleet.view(index).self().id;
    }

    auto run_until_seen(member_id member, member_state state, millis limit)
        -> bool
    {
        return fleet.run_until(
            [&]
            {
                return fleet.all_see(member, state);
            },
            limit);
    }

    membership_fleet fleet;
};

} // namespace

TEST_CASE("a killed member is dead in all views within five seconds")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        CAPTURE(seed);
        converged_fleet it(seed);
        const auto id = it.id(4);
        it.fleet.stop(4);
        CHECK(it.run_until_seen(id, member_state::dead, seconds(5)));
        CHECK(it.fleet.view(1).agents_of("orders").size() == 11);
        CHECK(it.fleet.declared_dead.size() == 1);
    }
}

TEST_CASE("a false suspicion is refuted by its subject")
{
    converged_fleet it(3);
    auto update = it.fleet.view(4).self();
    const auto version = update.version;
    update.state = member_state::suspect;
    control_message message;
    message.from = it.id(2);
    message.from_incarnation = 1;
    message.body = gossip_message{{update}, false};
    it.fleet.view(6).on_control(it.fleet.now(), message);
    CHECK(it.fleet.view(6).find(update.id)->state == member_state::suspect);
    it.fleet.run(seconds(3));
    CHECK(it.fleet.all_see(update.id, member_state::ready));
    CHECK(it.fleet.view(4).self().version > version);
    CHECK(it.fleet.view(4).self().incarnation == 1);
    CHECK(it.fleet.declared_dead.empty());
}

TEST_CASE("a member paused until declared dead gets a new incarnation")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        CAPTURE(seed);
        converged_fleet it(seed);
        const auto id = it.id(4);
        it.fleet.pause(4);
        CHECK(it.run_until_seen(id, member_state::dead, seconds(6)));
        it.fleet.run(seconds(3));
        it.fleet.resume(4);
        CHECK(it.run_until_seen(id, member_state::ready, seconds(3)));
        CHECK(it.fleet.view(4).self().incarnation > 1);
        CHECK(it.fleet.events["member_life_raised"] > 0);
        // The paused member declared no other member dead.
        CHECK(it.fleet.declared_dead == std::set<member_id>{id});
    }
}

TEST_CASE("a member paused until its record expires joins again")
{
    converged_fleet it(5);
    const auto id = it.id(4);
    it.fleet.pause(4);
    it.fleet.run(minutes(11));
    CHECK(it.fleet.view(0).find(id) == nullptr);
    it.fleet.resume(4);
    it.fleet.run(seconds(5));
    CHECK(it.fleet.converged());
    CHECK(it.fleet.declared_dead == std::set<member_id>{id});
}

TEST_CASE("a member that restarts with its name remains one member")
{
    converged_fleet it(6);
    auto record = it.fleet.view(4).self();
    it.fleet.stop(4);
    it.fleet.run(seconds(1));
    record.incarnation = 2;
    record.version = 1;
    record.state = member_state::joining;
    it.fleet.start(record, 4);
    CHECK(it.run_until_seen(record.id, member_state::joining, seconds(3)));
    it.fleet.view(4).set_state(it.fleet.now(), member_state::ready);
    it.fleet.run(seconds(5));
    CHECK(it.fleet.converged());
    CHECK(it.fleet.view(2).records().size() == 12);
}

TEST_CASE("a restart after a clock reset gets a larger incarnation")
{
    converged_fleet it(7);
    auto record = it.fleet.view(4).self();
    it.fleet.view(4).set_weight(it.fleet.now(), 50);
    it.fleet.run(seconds(2));
    it.fleet.stop(4);
    record.incarnation = 0;
    record.version = 1;
    it.fleet.start(record, 4);
    it.fleet.run(seconds(8));
    CHECK(it.fleet.converged());
    CHECK(it.fleet.view(4).self().incarnation > 1);
}

TEST_CASE("a process whose name is used elsewhere stops sending")
{
    converged_fleet it(8);
    auto record = it.fleet.view(4).self();
    it.fleet.pause(4);
    it.fleet.run(seconds(8));
    record.incarnation = 1000;
    record.data_address.address += 100;
    record.control_address.address += 100;
    it.fleet.start(record);
    it.fleet.run(seconds(5));
    it.fleet.resume(4);
    it.fleet.run(seconds(5));
    CHECK(it.fleet.view(4).is_replaced());
    CHECK(it.fleet.view(0).find(record.id)->data_address ==
          record.data_address);
    CHECK(it.fleet.view(0).find(record.id)->incarnation == 1000);
}

TEST_CASE("a reused address belongs to the new service's agent")
{
    converged_fleet it(9);
    const auto old = it.fleet.view(4).self();
    it.fleet.stop(4);
    auto record = make_agent(99, "surveys", old.data_centre);
    record.data_address = old.data_address;
    record.control_address = old.control_address;
    it.fleet.start(record, 4);
    CHECK(it.run_until_seen(record.id, member_state::ready, seconds(3)));
    CHECK(it.fleet.run_until(
        [&]
        {
            const auto* found = it.fleet.view(0).find(old.id);
            return found != nullptr && found->state == member_state::dead;
        },
        seconds(8)));
    CHECK(it.fleet.view(0).agents_of("surveys").size() == 1);
    CHECK(it.fleet.view(0).agents_of("orders").size() == 11);
}

TEST_CASE("one-way link failures cause no member to be declared dead")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        CAPTURE(seed);
        converged_fleet it(seed);
        it.fleet.block_link(2, 4);
        it.fleet.block_link(6, 8);
        it.fleet.block_link(8, 1);
        it.fleet.run(minutes(1));
        CHECK(it.fleet.declared_dead.empty());
        CHECK(it.fleet.converged());
    }
}

TEST_CASE("an isolated balancer declares no member dead")
{
    converged_fleet it(10);
    const auto index = it.fleet.start(make_balancer(1, "plovdiv-a"));
    const auto id = it.id(index);
    it.fleet.run(seconds(10));
    it.fleet.isolate(index);
    it.fleet.run(seconds(30));
    CHECK(it.fleet.view(index).is_isolated(it.fleet.now()));
    CHECK(it.fleet.view(index).agents_of("orders").size() == 12);
    CHECK(it.fleet.declared_dead == std::set<member_id>{id});
    // The isolated member learns the missed changes once it is reconnected.
    it.fleet.view(3).set_state(it.fleet.now(), member_state::draining);
    it.fleet.run(seconds(10));
    it.fleet.heal();
    CHECK(it.run_until_seen(it.id(3), member_state::draining, seconds(20)));
    CHECK(it.run_until_seen(id, member_state::ready, seconds(20)));
}

TEST_CASE("data centres merge again after an hour of partition")
{
    converged_fleet it(11);
    for (std::size_t a = 0; a < 12; ++a)
    {
        for (std::size_t b = 0; b < 12; ++b)
        {
            if (a % 2 != b % 2)
            {
                it.fleet.block_link(a, b);
            }
        }
    }
    it.fleet.run(minutes(60));
    CHECK(it.fleet.view(0).agents_of("orders").size() == 6);
    it.fleet.heal();
    CHECK(it.fleet.run_until(
        [&]
        {
            return it.fleet.converged();
        },
        minutes(1)));
}

TEST_CASE("a member that left stays left and is not declared dead")
{
    converged_fleet it(12);
    const auto id = it.id(4);
    it.fleet.view(4).set_state(it.fleet.now(), member_state::left);
    it.fleet.run(seconds(1));
    it.fleet.stop(4);
    it.fleet.run(seconds(30));
    CHECK(it.fleet.all_see(id, member_state::left));
    CHECK(it.fleet.declared_dead.empty());
}

// Passive failure detection: callers' retransmissions reveal a dead member
// before the probe rotation reaches it.
TEST_CASE("a member with unanswered traffic is suspected immediately")
{
    // A direct probe, an indirect probe of two timeouts and three gossip
    // rounds.
    const membership_settings settings;
    const auto bound =
        settings.probe_timeout * 3 + settings.gossip_interval * 3;
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        CAPTURE(seed);
        converged_fleet it(seed);
        const auto id = it.id(4);
        it.fleet.stop(4);
        it.fleet.view(1).probe_now(it.fleet.now(), id);
        CHECK(it.run_until_seen(id, member_state::suspect, bound));
        // A live member that is probed ahead of its turn answers.
        it.fleet.view(1).probe_now(it.fleet.now(), it.id(5));
        it.fleet.run(seconds(5));
        CHECK(it.fleet.declared_dead.size() == 1);
    }
}

// Guards against: after a kill of many processes, those that started again knew
// only each other until the next anti-entropy message of a member that ran on,
// up to 10 s later, and took its flows for lost.
TEST_CASE("members that are restarted at once, start address included, learn "
          "of those that ran on")
{
    constexpr std::uint32_t members = 12;
    constexpr std::size_t restarted = 3;
    // Members are calm, and must act correctly, this long after a disruption.
    constexpr millis bound = seconds(4);
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        CAPTURE(seed);
        membership_fleet fleet(seed, {});
        for (std::uint32_t n = 0; n < members; ++n)
        {
            fleet.start(make_agent(n + 1, "orders"));
        }
        fleet.run(seconds(20) + seconds(static_cast<std::int64_t>(seed)));
        REQUIRE(fleet.converged());
        for (std::size_t n = 0; n < restarted; ++n)
        {
            fleet.stop(n);
        }
        fleet.run(milliseconds(500));
        for (std::size_t n = 0; n < restarted; ++n)
        {
            auto record =
                make_agent(static_cast<std::uint32_t>(n + 1), "orders");
            record.incarnation = 2;
            fleet.start(record, n);
        }
        CHECK(fleet.run_until(
            [&]
            {
                return fleet.converged();
            },
            bound));
    }
}

// Guards against: a member that was cut off refuted its death during the cut,
// which reached nobody, and was held for dead for seconds after it, since a
// sender with a later incarnation was told nothing.
TEST_CASE("a member that is heard under a later incarnation is taken back at "
          "once")
{
    struct sent_message
    {
        endpoint to;
        control_message message;
    };
    std::vector<sent_message> sent;
    const auto hooks = [&]
    {
        membership_hooks out;
        out.send = [&](const endpoint& to, const control_message& message)
        {
            sent.push_back({to, message});
        };
        return out;
    };
    const auto now = seconds(100);
    auto refuted = make_agent(2, "orders");
    refuted.incarnation = 3;
    const auto self = make_agent(1, "orders");
    member_view view(self, {}, {}, hooks(), 1);
    member_view other(refuted, {}, {}, hooks(), 2);
    for (const auto state : {member_state::ready, member_state::dead})
    {
        auto record = make_agent(2, "orders");
        record.state = state;
        view.on_control(now, {7, 1, gossip_message{{record}, false}});
    }
    other.on_control(now, {self.id, 1, gossip_message{{self}, false}});
    sent.clear();

    view.on_control(now, {refuted.id, 3, probe_message{1, self.id, {}}});
    // Besides the answer to the probe, it is sent the outdated record, and
    // answers with its own.
    const auto messages = std::exchange(sent, {});
    for (const auto& it : messages)
    {
        CHECK(it.to == refuted.control_address);
        other.on_control(now, it.message);
    }
    REQUIRE(!sent.empty());
    CHECK(sent.back().to == self.control_address);
    view.on_control(now, sent.back().message);
    const auto* known = view.find(refuted.id);
    REQUIRE(known != nullptr);
    CHECK(known->state == member_state::ready);
    CHECK(known->incarnation == 3);
}
