#include "node/store/agent_registrar.hpp"
#include "node/store/member_directory.hpp"
#include "stand_ins/store/virtual_store.hpp"
#include "tests/fakes/membership_fleet.hpp"

#include <doctest/doctest.h>

using namespace briardrum;
using namespace briardrum::tests;
using briardrum::stand_in::memory_store;
using briardrum::stand_in::virtual_store;

namespace
{

constexpr auto tick_interval = milliseconds(50);

// One balancer that registers the agents that it is told of.
struct registrar_fixture
{
    memory_store data;
    virtual_store client{data};
    member_view members{make_balancer(1), {}, {}, {}, 1};
    agent_registrar registrar{client, members, {}, nullptr};
    millis now = seconds(100);

    auto announce(const member_record& record) -> void
    {
        members.on_control(now, {record.id, record.incarnation,
                                 gossip_message{{record}, false}});
    }

    auto run(millis span) -> void
    {
        const auto end = now + span;
        while (now < end)
        {
            now += tick_interval;
            client.run(now);
            registrar.tick(now);
        }
    }

    auto entries() const -> std::size_t
    {
        const member_directory_layout layout;
        std::size_t out = 0;
        for (const auto& it : data.range(layout.all()).values)
        {
            out += layout.agent_of(it.key).empty() ? 0 : 1;
        }
        return out;
    }
};

// What a process that starts now reads from the directory; nothing while it is
// not certain to be complete.
auto read_agents(memory_store& data) -> std::optional<std::vector<listed_agent>>
{
    virtual_store client(data);
    std::optional<std::vector<listed_agent>> out;
    member_directory directory(client, {{}, "newcomer", {1, 1}, false},
                               {[](std::span<const endpoint>) {}, nullptr,
                                [&](std::span<const listed_agent> agents)
                                {
                                    out.emplace(agents.begin(), agents.end());
                                }});
    for (auto now = seconds(1); now < seconds(2); now += tick_interval)
    {
        directory.tick(now, false);
        client.run(now);
    }
    return out;
}

} // namespace

// Guards against: processes that started again after a kill of many could not
// tell that agents ran on, for the directory listed balancers only.
TEST_CASE("agents are registered as soon as they are known")
{
    registrar_fixture it;
    it.announce(make_agent(1, "orders"));
    it.announce(make_agent(2, "orders"));
    it.run(milliseconds(500));
    CHECK(it.entries() == 2);
    it.announce(make_agent(3, "surveys"));
    it.run(milliseconds(500));
    const auto agents = read_agents(it.data);
    REQUIRE(agents.has_value());
    REQUIRE(agents->size() == 3);
    CHECK(agents->at(2) == listed_agent{make_agent(3, "").id,
                                        make_agent(3, "").control_address});
}

TEST_CASE("more agents than fit into one transaction are registered")
{
    registrar_fixture it;
    for (std::uint32_t n = 1; n <= 100; ++n)
    {
        it.announce(make_agent(n, "orders"));
    }
    it.run(seconds(2));
    CHECK(it.entries() == 100);
    const auto calls = it.client.calls;
    it.run(seconds(9));
    // One read at most, and no write, while nothing changes.
    CHECK(it.client.calls <= calls + 1);
}

TEST_CASE("only the first ready balancer registers agents")
{
    registrar_fixture it;
    auto other = make_balancer(2);
    other.id = 1;
    REQUIRE(other.id < it.members.self().id);
    it.announce(other);
    it.announce(make_agent(1, "orders"));
    it.run(seconds(1));
    CHECK(it.entries() == 0);
    other.state = member_state::draining;
    ++other.version;
    it.announce(other);
    it.run(seconds(1));
    CHECK(it.entries() == 1);
}

TEST_CASE("an agent that departed stays registered while its server may live")
{
    registrar_fixture it;
    auto agent = make_agent(1, "orders");
    it.announce(agent);
    it.run(seconds(1));
    agent.state = member_state::left;
    SUBCASE("it left without a server")
    {
        agent.slots = 0;
        it.announce(agent);
        it.run(seconds(2));
        CHECK(it.entries() == 0);
    }
    SUBCASE("its server may live on")
    {
        it.announce(agent);
        it.run(seconds(59));
        CHECK(it.entries() == 1);
        it.run(seconds(5));
        CHECK(it.entries() == 0);
    }
}

// Guards against: a registrar that has just started removes the agents that it
// does not know yet.
TEST_CASE("a registered agent that is not known stays registered for a while")
{
    registrar_fixture it;
    it.data.commit({{},
                    {{member_directory_layout{}.agent_key("agent-9"),
                      "10.0.0.9:7001", false, 0}}});
    it.run(seconds(59));
    CHECK(it.entries() == 1);
    it.run(seconds(5));
    CHECK(it.entries() == 0);
}

// Guards against: another writer damages the entry of an agent, a process that
// starts does not count it, and flows of its server are taken for lost.
TEST_CASE("an agent whose entry cannot be read is still registered")
{
    registrar_fixture it;
    it.announce(make_agent(1, "orders"));
    it.announce(make_agent(2, "orders"));
    it.run(milliseconds(500));
    const member_directory_layout layout;
    for (const std::string& odd : {std::string("\xff"), std::string()})
    {
        const auto key = layout.agent_key(make_agent(2, "").name);
        it.data.commit({{}, {{key, odd, false, 0}}});
        const auto agents = read_agents(it.data);
        REQUIRE(agents.has_value());
        REQUIRE(agents->size() == 2);
        CHECK(agents->at(1) == listed_agent{make_agent(2, "").id, endpoint{}});
    }
}

TEST_CASE("agents are registered after the store was unreachable")
{
    registrar_fixture it;
    it.client.down = true;
    it.announce(make_agent(1, "orders"));
    it.run(seconds(5));
    it.client.down = false;
    it.client.lose_commits = 1;
    it.run(seconds(5));
    CHECK(it.entries() == 1);
}

// Guards against: a process that starts after a restore takes a directory that
// lost entries for complete.
TEST_CASE("a store restored from an older copy: the agents count as complete "
          "once they are registered again")
{
    registrar_fixture it;
    it.announce(make_agent(1, "orders"));
    it.run(seconds(10));
    const auto copy = it.data;
    it.announce(make_agent(2, "orders"));
    it.run(seconds(1));
    it.data.restore(copy);
    CHECK_FALSE(read_agents(it.data).has_value());
    it.registrar.on_store_restored();
    it.run(seconds(1));
    const auto agents = read_agents(it.data);
    REQUIRE(agents.has_value());
    CHECK(agents->size() == 2);
}

// Guards against: an entry that nobody can read keeps the others from being
// read.
TEST_CASE("an unreadable entry of the directory leaves the others readable")
{
    registrar_fixture it;
    it.announce(make_agent(1, "orders"));
    const member_directory_layout layout;
    for (const auto* value : {"10.0.0.2:70000", "10.0.0.300:1", "", "[[[[[["})
    {
        it.data.commit({{}, {{layout.agent_key("odd"), value, false, 0}}});
        it.data.commit({{}, {{layout.balancer_key("odd"), value, false, 0}}});
        it.run(seconds(1));
        const auto agents = read_agents(it.data);
        REQUIRE(agents.has_value());
        REQUIRE(agents->size() == 2);
        CHECK(agents->front() ==
              listed_agent{make_agent(1, "").id,
                           make_agent(1, "").control_address});
        // Its key names an agent; whether it is one is not known.
        CHECK(agents->back() == listed_agent{member_id_of("odd"), endpoint{}});
    }
}
