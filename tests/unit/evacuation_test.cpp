#include "node/store/document_watch.hpp"
#include "node/store/policy_source.hpp"
#include "stand_ins/store/virtual_store.hpp"
#include "tests/fakes/agent_fixture.hpp"
#include "tests/fakes/policy_fleet.hpp"

#include <algorithm>
#include <doctest/doctest.h>

using namespace briardrum;
using namespace briardrum::tests;
using briardrum::stand_in::virtual_store;

namespace
{

constexpr network_faults lossy_network = {0.1, 0, milliseconds(1),
                                          milliseconds(40)};

auto policy_at(std::int64_t revision, std::vector<std::string> evacuated,
               std::uint64_t era = 1) -> placement_policy
{
    return {era, revision, std::move(evacuated), {}};
}

// A balancer's way from the store to its policy.
struct policy_source_fixture
{
    stand_in::memory_store data;
    virtual_store client{data};
    member_view members{make_balancer(1), {}, {}, {}, 1};
    std::vector<placement_policy> sent;
    std::vector<placement_policy> adopted;
    policy_spreader spreader{
        members,
        {},
        {[this](const endpoint&, const placement_policy_message& message)
         {
             sent.push_back(message.policy);
         },
         [this](millis, const placement_policy& policy)
         {
             adopted.push_back(policy);
         },
         nullptr},
        1};
    policy_source source{"op/evacuate/", [this](const stored_policy& stored)
                         {
                             spreader.on_store(now, stored);
                         }};
    document_watch watch{client, {"op/config", "op/"}, make_hooks(), 1};
    millis now = seconds(1);

    policy_source_fixture()
    {
        client.poll_interval = seconds(2);
        put("op/config", "100");
        const auto other = make_agent(1, "orders");
        members.on_control(now, {other.id, 1, gossip_message{{other}, false}});
    }

    // The text of a configuration is the limit of a service.
    auto make_hooks() -> document_watch_hooks
    {
        document_watch_hooks out;
        out.on_value = [this](const std::string& text, store_revision at)
        {
            configurations.push_back(text);
            if (text != "unreadable")
            {
                source.on_limits(
                    {{7, static_cast<std::uint32_t>(std::stoul(text))}}, at);
            }
        };
        out.on_read = [this](const store_range_result& result)
        {
            source.on_read(result);
        };
        out.on_events = [this](const store_watch_batch& batch)
        {
            source.on_events(batch);
        };
        return out;
    }

    auto put(const std::string& key, const std::string& value) -> void
    {
        data.commit({{}, {{key, value, false, 0}}});
    }

    auto evacuate(const std::string& data_centre) -> void
    {
        put("op/evacuate/" + data_centre, "{}");
    }

    auto withdraw(const std::string& data_centre) -> void
    {
        data.commit({{}, {{"op/evacuate/" + data_centre, "", true, 0}}});
    }

    auto run(millis span) -> void
    {
        const auto end = now + span;
        while (now < end)
        {
            now += milliseconds(50);
            client.run(now);
            watch.tick(now);
            spreader.tick(now);
        }
    }

    std::vector<std::string> configurations;
};

using names = std::vector<std::string>;

auto in_data_centre(const std::string& name, std::int64_t revision = 10)
    -> placement_policy
{
    return policy_at(revision, {name});
}

auto gated_agent(std::size_t others = 2) -> agent_fixture
{
    packet_agent_settings settings;
    settings.needs_policy = true;
    return agent_fixture(others, settings);
}

auto state_of(const agent_fixture& it) -> member_state
{
    return it.members->self().state;
}

// Returns true if the server gets a new flow.
auto starts_flow(agent_fixture& it, std::uint16_t port) -> bool
{
    const auto before = it.to_server.size();
    auto packet = it.opening(port);
    packet.label.hops = 0;
    it.receive_from_balancer(packet);
    return it.to_server.size() > before;
}

auto drain_others(agent_fixture& it, std::size_t others) -> void
{
    for (std::size_t n = 1; n <= others; ++n)
    {
        auto record = it.record_of(n);
        record.version = 5;
        record.state = member_state::draining;
        it.announce(record);
    }
}

} // namespace

// Guards against: an agent that cannot reach the store, or whose messages are
// lost, goes on starting flows in an evacuated data centre.
TEST_CASE("evacuation: a policy reaches 300 members within two seconds at 10 "
          "percent loss")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        CAPTURE(seed);
        policy_fleet fleet(seed, 300, lossy_network);
        fleet.spreader(0).on_store(fleet.now(), {policy_at(5, {}), 5});
        REQUIRE(fleet.run_until_known({}, seconds(2)).has_value());
        fleet.run(seconds(3));
        fleet.messages = 0;
        fleet.spreader(0).on_store(fleet.now(), {policy_at(9, {"north"}), 9});
        const auto took = fleet.run_until_known({"north"}, seconds(2));
        REQUIRE(took.has_value());
        MESSAGE("seed " << seed << ": known to all after " << took->count
                        << " ms");
        fleet.run(seconds(2));
        // Four rounds to five members each, and one repair message a second
        // with at most one answer, in at most four seconds.
        CHECK(fleet.messages <= 300 * (4 * 5 + 4 * 2));
    }
}

// Guards against: members that were cut off when an evacuation spread never
// learn it while the store is away.
TEST_CASE("evacuation: known to half of the members while the store is away")
{
    policy_fleet fleet(1, 60, lossy_network);
    for (std::size_t n = 0; n < 60; ++n)
    {
        const auto newer = n % 2 == 0;
        fleet.spreader(n).on_message(
            fleet.now(), 0, {},
            {newer ? policy_at(20, {"north"}) : policy_at(10, {})});
    }
    CHECK(fleet.run_until_known({"north"}, seconds(2)).has_value());
    CHECK(fleet.set_back == 0);
}

// Guards against: a late message with an older policy undoes a newer one.
TEST_CASE("evacuation: withdrawn and requested again while messages are late")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        CAPTURE(seed);
        policy_fleet fleet(seed, 40, {0.1, 0, milliseconds(1), seconds(1)});
        std::int64_t revision = 0;
        for (int n = 0; n < 10; ++n)
        {
            ++revision;
            const names evacuated = n % 2 == 0 ? names{} : names{"north"};
            // Two balancers learn each change, and one learns some late.
            for (const std::size_t balancer : {std::size_t{0}, std::size_t{1}})
            {
                fleet.spreader(balancer).on_store(
                    fleet.now(), {policy_at(revision, evacuated), revision});
                fleet.run(milliseconds(150));
            }
        }
        CHECK(fleet.run_until_known({"north"}, seconds(4)).has_value());
        CHECK(fleet.set_back == 0);
    }
}

// Guards against: an agent that restarts during an evacuation starts flows.
TEST_CASE("evacuation: a restarted process learns the policy within a second")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        CAPTURE(seed);
        policy_fleet fleet(seed, 50, lossy_network);
        fleet.spreader(0).on_store(fleet.now(), {policy_at(9, {"north"}), 9});
        REQUIRE(fleet.run_until_known({"north"}, seconds(2)).has_value());
        fleet.run(seconds(2));
        fleet.restart(7);
        REQUIRE_FALSE(fleet.spreader(7).is_known());
        CHECK(fleet.run_until_known({"north"}, seconds(1)).has_value());
    }
}

TEST_CASE("evacuation: answers to one member are at least 200 ms apart")
{
    policy_source_fixture it;
    it.spreader.on_store(it.now, {policy_at(9, {"north"}), 9});
    it.sent.clear();
    for (int n = 0; n < 10; ++n)
    {
        it.spreader.on_message(it.now, 5, {1, 2}, {});
        it.now += milliseconds(50);
    }
    CHECK(it.sent == std::vector<placement_policy>(3, policy_at(9, {"north"})));
}

// Guards against: each restart of a balancer, which knows the content at a
// later revision only, causes 20 messages per member.
TEST_CASE("evacuation: a policy that differs by its revision is not spread")
{
    policy_source_fixture it;
    it.spreader.on_message(it.now, 5, {1, 2}, {policy_at(9, {"north"})});
    it.run(seconds(1));
    it.sent.clear();
    it.spreader.on_message(it.now, 5, {1, 2}, {policy_at(30, {"north"})});
    CHECK(it.sent.empty());
    CHECK(it.adopted.size() == 1);
    CHECK(it.spreader.policy().revision == 30);
}

TEST_CASE("evacuation: several data centres are followed in one watch")
{
    policy_source_fixture it;
    it.evacuate("north");
    it.run(seconds(1));
    CHECK(it.spreader.policy().evacuated == names{"north"});
    CHECK(it.spreader.policy().warm_up ==
          std::vector<service_warm_up>{{7, 100}});
    const auto calls = it.client.calls;
    it.evacuate("east");
    it.run(milliseconds(500));
    CHECK(it.spreader.policy().evacuated == names{"east", "north"});
    it.withdraw("north");
    it.run(milliseconds(500));
    CHECK(it.spreader.policy().evacuated == names{"east"});
    CHECK(it.spreader.policy().revision == it.data.revision());
    it.evacuate("north");
    it.withdraw("east");
    it.run(milliseconds(500));
    CHECK(it.spreader.policy().evacuated == names{"north"});
    CHECK(it.client.calls == calls);
    CHECK(it.configurations == std::vector<std::string>{"100"});
}

// Guards against: a series of configurations floods the members.
TEST_CASE("evacuation: a configuration with the same content changes nothing")
{
    policy_source_fixture it;
    it.evacuate("north");
    it.run(seconds(5));
    const auto revision = it.spreader.policy().revision;
    const auto sent = it.sent.size();
    it.run(seconds(5));
    const auto sent_idle = it.sent.size() - sent;
    for (int n = 0; n < 10; ++n)
    {
        it.put("op/config", "100");
        it.put("other", "value");
        it.run(milliseconds(500));
    }
    CHECK(it.configurations.size() == 11);
    CHECK(it.spreader.policy().revision == revision);
    CHECK(it.adopted.size() == 1);
    CHECK(it.sent.size() - sent - sent_idle == sent_idle);
    it.put("op/config", "200");
    it.run(milliseconds(500));
    CHECK(it.adopted.size() == 2);
    CHECK(it.spreader.policy().revision == it.data.revision());
}

// Guards against: evacuations that were withdrawn while the watch was lost stay
// in force, because a removed key leaves no trace in a read.
TEST_CASE("evacuation: withdrawn while the history was compacted")
{
    policy_source_fixture it;
    it.evacuate("north");
    it.evacuate("east");
    it.run(seconds(1));
    it.client.down = true;
    it.run(seconds(1));
    it.withdraw("north");
    it.data.compact();
    it.client.down = false;
    it.run(seconds(4));
    CHECK(it.spreader.policy().evacuated == names{"east"});
}

// Guards against: after a restore, the evacuations of the former history stay
// in force since their revisions are higher.
TEST_CASE("evacuation: the store is restored from an older copy")
{
    policy_source_fixture it;
    it.evacuate("north");
    const auto copy = it.data;
    it.run(seconds(1));
    it.withdraw("north");
    it.evacuate("east");
    it.run(seconds(1));
    const auto before = it.spreader.policy();
    REQUIRE(before.evacuated == names{"east"});
    it.data.restore(copy);
    it.run(seconds(3));
    CHECK(it.spreader.policy().evacuated == names{"north"});
    CHECK(it.spreader.policy().supersedes(before));
    CHECK(it.spreader.policy().revision < before.revision);
    // A member that still has the policy of the former history.
    it.spreader.on_message(it.now, 5, {1, 2}, {before});
    CHECK(it.spreader.policy().evacuated == names{"north"});
    CHECK(it.sent.back() == it.spreader.policy());
}

// Guards against: a balancer that missed an evacuation and its withdrawal takes
// the evacuation over from a member, and no later change ends it.
TEST_CASE("evacuation: a member's policy that the store has since withdrawn")
{
    policy_source_fixture it;
    it.run(seconds(1));
    it.client.down = true;
    it.run(seconds(1));
    it.evacuate("north");
    const auto missed = it.data.revision();
    it.withdraw("north");
    it.client.down = false;
    it.run(seconds(3));
    REQUIRE(it.spreader.policy().revision < missed);
    placement_policy theirs = it.spreader.policy();
    theirs.revision = missed;
    theirs.evacuated = {"north"};
    it.spreader.on_message(it.now, 5, {1, 2}, {theirs});
    CHECK(it.spreader.policy().evacuated.empty());
    CHECK(it.spreader.policy().supersedes(theirs));
    CHECK(it.sent.back() == it.spreader.policy());
    // A policy that is newer than what the store confirmed is adopted.
    theirs.revision = it.data.revision() + 1;
    it.spreader.on_message(it.now, 5, {1, 2}, {theirs});
    CHECK(it.spreader.policy() == theirs);
}

TEST_CASE("evacuation: followed while the configuration is unreadable")
{
    policy_source_fixture it;
    it.run(seconds(1));
    it.put("op/config", "unreadable");
    it.evacuate("north");
    it.run(seconds(1));
    CHECK(it.spreader.policy().evacuated == names{"north"});
    CHECK(it.spreader.policy().warm_up.size() == 1);
}

// Guards against: a balancer that has started while the configuration is
// unreadable ends the limits that all others know.
TEST_CASE("evacuation: no policy before the limits are known")
{
    policy_source_fixture it;
    it.put("op/config", "unreadable");
    it.evacuate("north");
    it.run(seconds(1));
    CHECK_FALSE(it.spreader.is_known());
    it.source.set_known_limits({{7, 3}});
    it.evacuate("east");
    it.run(seconds(1));
    CHECK(it.spreader.policy().evacuated == names{"east", "north"});
    CHECK(it.spreader.policy().warm_up == std::vector<service_warm_up>{{7, 3}});
}

// Guards against: an agent that does not know whether its data centre is
// evacuated starts flows.
TEST_CASE("evacuation: an agent starts nothing before it knows a policy")
{
    auto it = gated_agent();
    it.heartbeat(1);
    CHECK(state_of(it) == member_state::joining);
    CHECK_FALSE(starts_flow(it, 1));
    CHECK(it.count_labelled(label_kind::offer) == 1);
    it.core->on_policy(it.now, policy_at(3, {}));
    CHECK(state_of(it) == member_state::ready);
    CHECK(starts_flow(it, 2));
}

TEST_CASE("evacuation: an agent without the setting waits for no policy")
{
    agent_fixture it;
    it.heartbeat(1);
    CHECK(state_of(it) == member_state::ready);
    CHECK(starts_flow(it, 1));
}

// Guards against: opening packets that were queued or in transit reach a server
// of the evacuated data centre, or its open flows are lost.
TEST_CASE("evacuation: an agent keeps its open flows and starts no new one")
{
    auto it = gated_agent();
    it.core->on_policy(it.now, policy_at(3, {"elsewhere"}));
    it.heartbeat(1);
    it.open_flow(1);
    for (std::uint16_t port = 2; port <= 6; ++port)
    {
        auto packet = it.opening(port);
        packet.label.kind = label_kind::settle;
        it.receive_from_balancer(packet);
    }
    REQUIRE(it.core->admission().waiting() > 0);
    const auto offers = it.count_labelled(label_kind::offer) +
                        it.count_labelled(label_kind::settle);
    it.core->on_policy(it.now, in_data_centre("dc"));
    CHECK(it.core->admission().waiting() == 0);
    CHECK(it.count_labelled(label_kind::offer) +
              it.count_labelled(label_kind::settle) >
          offers);
    CHECK(state_of(it) == member_state::draining);
    const auto before = it.to_server.size();
    it.receive_from_balancer(it.opening(20));
    CHECK_FALSE(starts_flow(it, 21));
    CHECK(it.to_server.size() == before);
    it.receive_from_balancer(it.data(1, 300));
    CHECK(it.to_server.size() == before + 1);
    it.advance_time(seconds(1));
    CHECK(it.to_server.size() == before + 1);
    CHECK(it.resets.empty());
    it.core->on_policy(it.now, policy_at(11, {}));
    CHECK(state_of(it) == member_state::ready);
    CHECK(starts_flow(it, 22));
}

// Guards against: the retransmission of an opening packet that the server has
// not seen is delivered to it after the evacuation.
TEST_CASE("evacuation: a retransmitted opening packet is offered on unless the "
          "server has answered")
{
    auto it = gated_agent();
    it.core->on_policy(it.now, policy_at(3, {}));
    it.heartbeat(1);
    it.receive_from_balancer(it.opening(1));
    it.receive_from_balancer(it.opening(2));
    it.accept_by_server(2, 1000);
    it.core->on_policy(it.now, in_data_centre("dc"));
    const auto before = it.to_server.size();
    it.now += milliseconds(200);
    auto first = it.opening(1, 1);
    first.label.hops = 0;
    it.receive_from_balancer(first);
    CHECK(it.to_server.size() == before);
    it.receive_from_balancer(it.opening(2, 1));
    CHECK(it.to_server.size() == before + 1);
}

// Guards against: the end of one cause for which a server takes no flows ends
// another that still holds.
TEST_CASE("evacuation: overlaps with a draining server and a signal")
{
    enum class cause
    {
        server,
        evacuation,
        signal,
    };
    std::vector<cause> order = {cause::server, cause::evacuation,
                                cause::signal};
    do
    {
        auto it = gated_agent();
        it.core->on_policy(it.now, policy_at(1, {}));
        it.heartbeat(1);
        REQUIRE(state_of(it) == member_state::ready);
        for (const auto next : order)
        {
            switch (next)
            {
            case cause::server:
                it.heartbeat(2, true);
                break;
            case cause::evacuation:
                it.core->on_policy(it.now, in_data_centre("dc"));
                break;
            case cause::signal:
                it.core->drain(it.now);
                break;
            }
            CHECK(state_of(it) == member_state::draining);
            CHECK_FALSE(starts_flow(it, 1));
        }
        it.core->on_policy(it.now, policy_at(11, {}));
        CHECK(state_of(it) == member_state::draining);
        CHECK_FALSE(starts_flow(it, 2));
    } while (std::next_permutation(order.begin(), order.end()));
}

// Guards against: with a new server process, a drained one or an evacuation
// ending first, the record stays draining for ever.
TEST_CASE("evacuation: ends after the draining server was replaced")
{
    auto it = gated_agent();
    it.core->on_policy(it.now, in_data_centre("dc"));
    CHECK(state_of(it) == member_state::draining);
    it.heartbeat(1, true);
    it.core->on_leave(it.now, "server");
    server_heartbeat next;
    next.server_id = "next";
    next.service_name = "orders";
    next.slots = 2;
    next.sequence = 1;
    next.started_at = seconds(50);
    it.core->on_heartbeat(it.now, next);
    CHECK(state_of(it) == member_state::draining);
    it.core->on_policy(it.now, policy_at(11, {}));
    CHECK(state_of(it) == member_state::ready);
}

// Guards against: callers wait for 1.4 s although no server may take their
// flow; and a retransmission is reset although its first copy opened a flow.
TEST_CASE("evacuation: without any server left, an agent refuses the first "
          "copy of an opening packet only")
{
    auto it = gated_agent();
    it.heartbeat(1);
    // Agents that know no policy yet may take flows shortly.
    drain_others(it, 2);
    it.receive_from_balancer(it.opening(1));
    CHECK(it.resets.empty());
    it.core->on_policy(it.now, in_data_centre("dc"));
    it.receive_from_balancer(it.opening(2));
    CHECK(it.resets.size() == 1);
    it.receive_from_balancer(it.opening(3, 1));
    CHECK(it.resets.size() == 1);
    // An agent that is joining may take flows shortly.
    auto joining = it.record_of(1);
    joining.version = 6;
    joining.state = member_state::joining;
    it.announce(joining);
    it.receive_from_balancer(it.opening(4));
    CHECK(it.resets.size() == 1);
}
