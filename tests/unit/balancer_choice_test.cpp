#include "tests/fakes/balancer_fixture.hpp"

#include <doctest/doctest.h>
#include <set>

using namespace briardrum;
using namespace briardrum::tests;

namespace
{

// A balancer with three agents each of the services orders and surveys.
struct two_services : balancer_fixture
{
    two_services()
    {
        add_service("orders");
        add_service("surveys");
        adopt_configuration();
        for (std::uint32_t n = 1; n <= 3; ++n)
        {
            deliver_gossip(make_agent(n, "orders"));
            deliver_gossip(make_agent(n + 10, "surveys"));
        }
    }

    auto orders_agent(std::uint32_t n) -> member_record
    {
        return make_agent(n, "orders");
    }
};

constexpr std::uint16_t ports = 200;

} // namespace

TEST_CASE("a packet is sent unchanged to an agent of its service")
{
    two_services it;
    std::set<member_id> used;
    for (std::uint16_t port = 1; port <= ports; ++port)
    {
        const auto id = it.target_of("orders", port);
        REQUIRE(it.core->members().find(id) != nullptr);
        CHECK(it.core->members().find(id)->service_name == "orders");
        used.insert(id);
    }
    CHECK(used.size() == 3);
    const auto& last = it.sent.back();
    CHECK(to_buffer(as_bytes("datagram orders")) == last.datagram);
    CHECK(last.message.target_incarnation == 1);
    CHECK(last.message.balancer == it.core->members().self().id);
    CHECK(last.message.version == 1);
    CHECK(last.message.hops == 0);
}

TEST_CASE("a packet for an unknown service is counted and dropped")
{
    two_services it;
    it.core->on_packet(it.now, {{1, 1}, {2, 2}, as_bytes("x")});
    CHECK(it.serve() == 0);
    CHECK(it.counter("unknown_service") == 1);
}

TEST_CASE("without a configuration no packet is forwarded")
{
    balancer_fixture it;
    it.add_service("orders");
    it.deliver_gossip(make_agent(1, "orders"));
    it.packet("orders", 1);
    CHECK(it.serve() == 0);
    CHECK(it.counter("no_configuration") == 1);
    it.adopt_configuration();
    CHECK(it.target_of("orders", 1) != 0);
}

TEST_CASE("an older configuration is not adopted")
{
    two_services it;
    configuration old;
    old.version = 1;
    CHECK_FALSE(
        it.core->adopt(it.now, std::make_shared<const configuration>(old)));
    CHECK(it.target_of("orders", 1) != 0);
}

TEST_CASE("packets of a service without servers are dropped and counted")
{
    balancer_fixture it;
    it.add_service("orders");
    it.adopt_configuration();
    CHECK(it.target_of("orders", 1) == 0);
    CHECK(it.counter("dropped_no_server", "orders") == 1);
}

TEST_CASE("a flow is sent to the agent that answered it last")
{
    two_services it;
    for (std::uint16_t port = 1; port <= ports; ++port)
    {
        const auto other = it.orders_agent(1 + port % 3).id;
        it.answer("orders", port, other);
        CHECK(it.target_of("orders", port) == other);
    }
    CHECK(it.counter("forwarded_by_hint", "orders") == ports);
    CHECK(it.counter("saturation_percent", "orders") == 40);
}

TEST_CASE("an answer of another service's agent creates no hint")
{
    two_services it;
    const auto home = it.target_of("orders", 7);
    it.answer("orders", 7, make_agent(11, "surveys").id);
    CHECK(it.target_of("orders", 7) == home);
}

TEST_CASE("an answer with another service's address is dropped")
{
    two_services it;
    envelope message;
    message.kind = envelope_kind::answer;
    message.service = it.config.services.at("orders").id;
    message.service_address = it.config.services.at("surveys").address;
    it.core->on_envelope(it.now, message);
    CHECK(it.answered.empty());
    CHECK(it.counter("misdelivered_answers") == 1);
}

TEST_CASE("a hint to a dead agent falls back to the home")
{
    two_services it;
    const auto home = it.target_of("orders", 7);
    auto other = it.orders_agent(1);
    other = other.id == home ? it.orders_agent(2) : other;
    it.answer("orders", 7, other.id);
    REQUIRE(it.target_of("orders", 7) == other.id);
    other.state = member_state::suspect;
    it.deliver_gossip(other);
    CHECK(it.target_of("orders", 7) == other.id);
    other.state = member_state::dead;
    it.deliver_gossip(other);
    CHECK(it.target_of("orders", 7) == home);
}

TEST_CASE("a draining agent keeps its flows and gets no new ones")
{
    two_services it;
    auto leaving = it.orders_agent(2);
    it.answer("orders", 7, leaving.id);
    leaving.state = member_state::draining;
    leaving.version = 2;
    it.deliver_gossip(leaving);
    CHECK(it.target_of("orders", 7) == leaving.id);
    for (std::uint16_t port = 1000; port < 1000 + ports; ++port)
    {
        CHECK(it.target_of("orders", port) != leaving.id);
    }
}

TEST_CASE("a joining agent gets no flows, a suspect one keeps its flows")
{
    two_services it;
    std::map<std::uint16_t, member_id> before;
    for (std::uint16_t port = 1; port <= ports; ++port)
    {
        before[port] = it.target_of("orders", port);
    }
    auto joining = it.orders_agent(4);
    joining.state = member_state::joining;
    it.deliver_gossip(joining);
    auto suspect = it.orders_agent(2);
    suspect.state = member_state::suspect;
    it.deliver_gossip(suspect);
    for (const auto& [port, id] : before)
    {
        CHECK(it.target_of("orders", port) == id);
    }
}

TEST_CASE("a reused address only gets flows of its new service")
{
    two_services it;
    const auto old = it.orders_agent(1);
    it.answer("orders", 7, old.id);
    // The same VM name and address, reused by a server of another service in a
    // later incarnation.
    auto reused = old;
    reused.incarnation = 2;
    reused.service_name = "surveys";
    it.deliver_gossip(reused);
    for (std::uint16_t port = 1; port <= ports; ++port)
    {
        CHECK(it.target_of("orders", port) != old.id);
    }
    bool used = false;
    for (std::uint16_t port = 1; port <= ports; ++port)
    {
        used = it.target_of("surveys", port) == old.id || used;
    }
    CHECK(used);
    CHECK(it.sent.back().message.target_incarnation >= 1);
}

TEST_CASE("a restarted agent gets envelopes for its new incarnation")
{
    two_services it;
    auto agent = it.orders_agent(1);
    it.answer("orders", 7, agent.id);
    agent.incarnation = 9;
    it.deliver_gossip(agent);
    CHECK(it.target_of("orders", 7) == agent.id);
    CHECK(it.sent.back().message.target_incarnation == 9);
}

TEST_CASE("an announcement of an unknown service is logged once")
{
    two_services it;
    auto wrong = make_agent(30, "ordres");
    it.deliver_gossip(wrong);
    wrong.version = 2;
    wrong.slots = 9;
    it.deliver_gossip(wrong);
    CHECK(it.events["announcement_refused"] == 1);
    it.adopt_configuration();
    CHECK(it.events["announcement_refused"] == 1);
    wrong.incarnation = 2;
    it.deliver_gossip(wrong);
    CHECK(it.events["announcement_refused"] == 2);
}

TEST_CASE("an agent gets flows as soon as its service is created")
{
    two_services it;
    it.deliver_gossip(make_agent(30, "stock"));
    CHECK(it.events["announcement_refused"] == 1);
    it.add_service("stock");
    it.adopt_configuration();
    CHECK(it.target_of("stock", 1) == make_agent(30, "stock").id);
}

TEST_CASE("packets queued for a removed service do not reach a new one")
{
    two_services it;
    it.packet("surveys", 1);
    it.config.services.erase("surveys");
    it.add_service("stock");
    it.adopt_configuration();
    it.deliver_gossip(make_agent(30, "stock"));
    CHECK(it.serve() == 0);
    CHECK(it.sent.empty());
    CHECK(it.target_of("stock", 1) == make_agent(30, "stock").id);
}

TEST_CASE("a leaving balancer is draining and continues to forward")
{
    two_services it;
    it.core->leave(it.now);
    CHECK(it.core->members().self().state == member_state::draining);
    CHECK(it.target_of("orders", 1) != 0);
    it.answer("orders", 1, it.orders_agent(1).id);
    CHECK(it.answered.size() == 1);
}
