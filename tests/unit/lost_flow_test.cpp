#include "packets/model/known_members.hpp"
#include "tests/fakes/agent_fixture.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <initializer_list>
#include <map>

using namespace briardrum;
using namespace briardrum::tests;

namespace
{

constexpr std::uint16_t port = 7;
constexpr std::uint16_t request_bytes = 300;
// Longer than the time for which a started process may know few members.
constexpr millis settled = milliseconds(1500);
// A search has failed and a query has been sent by then.
constexpr millis until_query = milliseconds(200);

// An agent that knows all flows of its server, with the given others, as the
// request of a flow that is unknown to it arrives.
struct lost_flow_fixture : agent_fixture
{
    explicit lost_flow_fixture(std::size_t others = 2) : agent_fixture(others)
    {
        core->on_registered_agents(now, {});
        start_server();
        advance_time(settled);
    }

    // deadline is that of the route, as its balancer tells it.
    auto receive_request(millis deadline = {}) -> void
    {
        auto packet = data(port, request_bytes);
        packet.acknowledged = 4711;
        packet.label.deadline_ms = static_cast<std::uint16_t>(deadline.count);
        receive_from_balancer(packet);
        advance_time(until_query);
    }

    auto deny_by_all(std::size_t others = 2) -> void
    {
        for (std::size_t n = 1; n <= others; ++n)
        {
            deny_queries(n);
        }
        advance_time(milliseconds(20));
    }

    // Denies the last query to another agent unless that was done before.
    auto deny_new_queries(std::size_t other) -> void
    {
        const auto n = queries_to(other).size();
        if (n > denied[other])
        {
            denied[other] = n;
            deny_queries(other);
        }
    }

    std::map<std::size_t, std::size_t> denied;

    auto flow() -> flow_key
    {
        return flow_from_caller(data(port, request_bytes));
    }
};

auto short_ids(std::initializer_list<member_id> ids)
    -> std::vector<std::uint32_t>
{
    std::vector<std::uint32_t> out;
    for (const auto id : ids)
    {
        out.push_back(short_id_of(id));
    }
    return out;
}

} // namespace

TEST_CASE("power loss: a flow that no server holds is reset")
{
    lost_flow_fixture it;
    it.receive_request();
    CHECK(it.resets.empty());
    it.deny_by_all();
    REQUIRE(it.resets.size() == 1);
    CHECK(it.resets.front() == it.data(port, 0).source);
    CHECK(it.core->counters().lost == 1);
    // Nothing is left to ask for.
    const auto queries = it.queries_to(1).size();
    it.advance_time(seconds(1));
    CHECK(it.queries_to(1).size() == queries);
}

TEST_CASE("a flow is not reset while one agent has not replied")
{
    lost_flow_fixture it;
    it.receive_request();
    it.deny_queries(1);
    it.advance_time(seconds(2));
    CHECK(it.resets.empty());
    CHECK(it.queries_to(2).size() > 1);
    it.deny_queries(2);
    it.advance_time(milliseconds(20));
    CHECK(it.resets.size() == 1);
}

TEST_CASE("a flow is not reset while an agent is not certain about its server")
{
    lost_flow_fixture it;
    it.receive_request();
    it.deny_queries(1);
    const auto query = it.queries_to(2).back();
    it.reply(2, {query.sequence, it.members->members_digest(), {}, {}, {}});
    it.advance_time(seconds(1));
    CHECK(it.resets.empty());
    // Its server returns the packet, and the agent answers the search.
    it.receive_notice(port, label_kind::unowned, 2);
    it.advance_time(milliseconds(20));
    CHECK(it.resets.size() == 1);
}

// After a common start the first heartbeat of a server may reach nobody, and
// its agent takes the server for older than itself.
TEST_CASE("an agent that is not certain is sent the packet once")
{
    lost_flow_fixture it;
    it.receive_request();
    it.deny_queries(1);
    const auto searched = it.count_labelled(label_kind::locate);
    const auto query = it.queries_to(2).back();
    const flow_reply_message unsure{
        query.sequence, it.members->members_digest(), {}, {}, {}};
    it.reply(2, unsure);
    it.reply(2, unsure);
    CHECK(it.count_labelled(label_kind::locate) == searched + 1);
    CHECK(it.sent.back().to == it.address_of(2));
    it.receive_notice(port, label_kind::unowned, 2);
    it.advance_time(milliseconds(20));
    CHECK(it.resets.size() == 1);
}

TEST_CASE("a flow is not reset while a member knows another agent")
{
    lost_flow_fixture it;
    it.receive_request();
    it.deny_queries(1);
    const auto query = it.queries_to(2).back();
    const auto other_digest = it.members->members_digest() + 1;
    it.reply(2, {query.sequence, other_digest, {}, query.flows, {}});
    it.advance_time(milliseconds(20));
    CHECK(it.resets.empty());

    // The other agent becomes known here, too, and must be asked as well.
    it.announce(it.record_of(3));
    it.advance_time(seconds(1));
    it.deny_queries(1);
    it.deny_queries(2);
    it.advance_time(milliseconds(20));
    CHECK(it.resets.empty());
    it.deny_queries(3);
    it.advance_time(milliseconds(20));
    CHECK(it.resets.size() == 1);
}

TEST_CASE("balancers must know the same agents, too")
{
    lost_flow_fixture it;
    auto balancer = it.record_of(9);
    balancer.kind = member_kind::balancer;
    it.announce(balancer);
    it.receive_request();
    it.deny_by_all();
    CHECK(it.resets.empty());
    const auto query = it.queries_to(9).back();
    it.reply(9, {query.sequence, it.members->members_digest(), {}, {}, {}});
    it.advance_time(milliseconds(20));
    CHECK(it.resets.size() == 1);
}

TEST_CASE("agents of other services are asked for a flow, too")
{
    lost_flow_fixture it;
    auto other = it.record_of(5);
    other.service_name = "surveys";
    it.announce(other);
    it.advance_time(settled);
    it.receive_request();
    it.deny_by_all();
    CHECK(it.resets.empty());
    it.deny_queries(5);
    it.advance_time(milliseconds(20));
    CHECK(it.resets.size() == 1);
}

TEST_CASE("a packet is relayed to the agent of another service that holds it")
{
    lost_flow_fixture it;
    auto other = it.record_of(5);
    other.service_name = "surveys";
    it.announce(other);
    it.advance_time(settled);
    it.receive_request();
    const auto query = it.queries_to(5).back();
    it.reply(
        5, {query.sequence, it.members->members_digest(), {it.flow()}, {}, {}});
    REQUIRE(it.count_labelled(label_kind::relay) == 1);
    const auto& relayed = it.sent.back();
    CHECK(relayed.to == other.data_address);
    CHECK(relayed.label.service == service_tag_of("surveys"));
    it.deny_by_all();
    CHECK(it.resets.empty());
    // An opening packet stays with the service of its route.
    it.receive_from_balancer(it.opening(port));
    CHECK(it.count_labelled(label_kind::relay) == 1);
}

TEST_CASE("a flow is not reset while the server of a departed agent may live")
{
    for (const auto state : {member_state::dead, member_state::left})
    {
        lost_flow_fixture it;
        auto gone = it.record_of(2);
        gone.state = state;
        it.announce(gone);
        it.advance_time(settled);
        it.receive_request();
        it.deny_by_all(1);
        CHECK(it.resets.empty());

        SUBCASE("its agent starts again and denies the flow")
        {
            gone.state = member_state::ready;
            gone.incarnation = 2;
            it.announce(gone);
            it.advance_time(seconds(1));
            it.deny_by_all();
            CHECK(it.resets.size() == 1);
        }
        SUBCASE("another server has its address")
        {
            auto next = it.record_of(3);
            next.data_address = gone.data_address;
            it.announce(next);
            it.advance_time(seconds(1));
            it.deny_queries(1);
            it.deny_queries(3);
            it.advance_time(milliseconds(20));
            CHECK(it.resets.size() == 1);
        }
        SUBCASE("no flow of it can be left")
        {
            it.advance_time(seconds(60));
            it.receive_request();
            it.deny_by_all(1);
            CHECK(it.resets.size() == 1);
        }
    }
}

// Guards against: members that are gone for good keep every caller waiting
// after a power loss, until long after its deadline.
TEST_CASE("power loss: a dead agent holds a proof up only for the deadline")
{
    lost_flow_fixture it;
    auto gone = it.record_of(2);
    gone.state = member_state::dead;
    it.announce(gone);
    it.advance_time(milliseconds(300));
    it.receive_request(milliseconds(800));
    it.deny_by_all(1);
    it.advance_time(milliseconds(200));
    CHECK(it.resets.empty());
    it.advance_time(milliseconds(200));
    CHECK(it.resets.size() == 1);
}

// Guards against: a dead agent that nobody has reached for seconds holds proofs
// up for the deadline again, from the moment in which it is declared dead.
TEST_CASE("a dead agent was out of reach since it became suspect")
{
    lost_flow_fixture it;
    auto gone = it.record_of(2);
    gone.state = member_state::suspect;
    it.announce(gone);
    it.advance_time(seconds(2));
    it.receive_request(milliseconds(800));
    it.deny_by_all(1);
    CHECK(it.resets.empty());
    gone.state = member_state::dead;
    it.announce(gone);
    it.advance_time(milliseconds(150));
    it.deny_by_all(1);
    CHECK(it.resets.size() == 1);
}

// Guards against: a registered agent that did not come back after a power loss
// blocks the proofs of every process that started since.
TEST_CASE(
    "power loss: a registered agent that is gone is waited for as long as "
    "callers wait")
{
    lost_flow_fixture it;
    const auto gone = it.record_of(4);
    const std::vector<listed_agent> registered = {
        {gone.id, gone.control_address}};
    it.core->on_registered_agents(it.now, registered);
    it.receive_request(milliseconds(800));
    it.deny_by_all();
    it.advance_time(milliseconds(400));
    CHECK(it.resets.empty());
    it.advance_time(milliseconds(300));
    CHECK(it.resets.size() == 1);
}

// Guards against: an agent that is restarted as planned work, while its server
// runs on, is taken for gone, and open flows are reset.
TEST_CASE("a stopped agent whose server runs on is waited for beyond the "
          "deadline")
{
    lost_flow_fixture it;
    auto stopped = it.record_of(2);
    stopped.state = member_state::left;
    it.announce(stopped);
    it.receive_request(milliseconds(800));
    it.deny_by_all(1);
    it.advance_time(milliseconds(2500));
    CHECK(it.resets.empty());
}

// Guards against: an agent that only this process fails to reach is taken for
// gone, although another member is in contact with it.
TEST_CASE("an agent that another member reaches is not gone")
{
    lost_flow_fixture it;
    auto cut_off = it.record_of(2);
    cut_off.state = member_state::dead;
    it.announce(cut_off);
    it.receive_request(milliseconds(800));
    const auto query = it.queries_to(1).back();
    const auto listed = short_ids(
        {it.members->self().id, it.record_of(1).id, it.record_of(2).id});
    it.reply(1, {query.sequence, 1, {}, query.flows, listed});
    it.advance_time(seconds(2));
    CHECK(it.resets.empty());
}

// Guards against: while members come back one after the other, no two know the
// same ones, and proofs wait for the last.
TEST_CASE("a member that knows fewer members does not hold a proof up")
{
    lost_flow_fixture it;
    it.receive_request();
    it.deny_queries(1);
    const auto query = it.queries_to(2).back();
    const auto listed = short_ids({it.record_of(1).id, it.record_of(2).id});
    it.reply(2, {query.sequence, 1, {}, query.flows, listed});
    it.advance_time(milliseconds(20));
    CHECK(it.resets.size() == 1);
}

// The load: 3,000 flows are lost to a power loss of 64 agents, each of which
// proves its share, and three of the agents are gone for good.
TEST_CASE(
    "power loss: 47 lost flows an agent are told within 150 ms by bounded "
    "messages")
{
    constexpr std::size_t others = 63;
    constexpr std::size_t gone_for_good = 3;
    constexpr std::uint16_t flows = 47;
    lost_flow_fixture it(others);
    for (std::size_t n = 1; n <= gone_for_good; ++n)
    {
        auto gone = it.record_of(n);
        gone.state = member_state::dead;
        it.announce(gone);
    }
    it.advance_time(seconds(2));
    it.controls.clear();
    for (std::uint16_t n = 0; n < flows; ++n)
    {
        auto packet =
            it.data(static_cast<std::uint16_t>(port + n), request_bytes);
        packet.label.deadline_ms = 1500;
        it.receive_from_balancer(packet);
    }
    for (int elapsed = 0; elapsed < 150; elapsed += 10)
    {
        it.advance_time(milliseconds(10));
        for (auto n = gone_for_good + 1; n <= others; ++n)
        {
            it.deny_new_queries(n);
        }
    }
    CHECK(it.resets.size() == flows);
    std::size_t queries = 0;
    for (auto n = gone_for_good + 1; n <= others; ++n)
    {
        queries += it.queries_to(n).size();
    }
    // Two rounds at most: one that carries all flows, and one for what came
    // while it was under way.
    CHECK(queries <= 2 * (others - gone_for_good));
}

// Guards against: after a kill of many processes, an agent that had started
// again took the members that it knew for all members, and reset open flows of
// agents that ran on.
TEST_CASE("a flow is not reset before the registered agents have been read")
{
    agent_fixture it;
    it.start_server();
    it.advance_time(settled);
    it.receive_from_balancer(it.data(port, request_bytes));
    it.advance_time(until_query);
    it.deny_queries(1);
    it.deny_queries(2);
    it.advance_time(seconds(1));
    CHECK(it.resets.empty());

    it.core->on_registered_agents(it.now, {});
    it.deny_queries(1);
    it.deny_queries(2);
    it.advance_time(milliseconds(20));
    CHECK(it.resets.size() == 1);
}

// The address in its entry may be another writer's: that another agent is
// there says nothing about this one.
TEST_CASE("a flow is not reset while a registered agent is not known")
{
    agent_fixture it;
    const auto unknown = it.record_of(4);
    auto address = unknown.control_address;
    SUBCASE("with its address") {}
    SUBCASE("with the address of another agent")
    {
        address = it.record_of(2).control_address;
    }
    SUBCASE("without an address")
    {
        address = {};
    }
    const std::vector<listed_agent> registered = {
        {it.record_of(1).id, it.record_of(1).control_address},
        {unknown.id, address}};
    it.core->on_registered_agents(it.now, registered);
    it.start_server();
    it.advance_time(settled);
    it.receive_from_balancer(it.data(port, request_bytes));
    it.advance_time(until_query);
    it.deny_queries(1);
    it.deny_queries(2);
    it.advance_time(seconds(1));
    CHECK(it.resets.empty());

    SUBCASE("it becomes known and denies the flow")
    {
        it.announce(unknown);
        it.advance_time(seconds(1));
        it.deny_queries(1);
        it.deny_queries(2);
        it.advance_time(milliseconds(20));
        CHECK(it.resets.empty());
        it.deny_queries(4);
        it.advance_time(milliseconds(20));
        CHECK(it.resets.size() == 1);
    }
    SUBCASE("it has left without a server")
    {
        auto gone = unknown;
        gone.state = member_state::left;
        gone.slots = 0;
        it.core->on_member_departed(it.now, gone);
        it.deny_queries(1);
        it.deny_queries(2);
        it.advance_time(milliseconds(20));
        CHECK(it.resets.size() == 1);
    }
    SUBCASE("no flow of it can be left")
    {
        it.advance_time(seconds(60));
        it.receive_from_balancer(it.data(port, request_bytes));
        it.advance_time(until_query);
        it.deny_queries(1);
        it.deny_queries(2);
        it.advance_time(milliseconds(20));
        CHECK(it.resets.size() == 1);
    }
}

TEST_CASE("an agent that left without a server holds no flows")
{
    lost_flow_fixture it;
    auto gone = it.record_of(2);
    gone.state = member_state::left;
    gone.slots = 0;
    it.announce(gone);
    it.advance_time(settled);
    it.receive_request();
    it.deny_by_all(1);
    CHECK(it.resets.size() == 1);
}

TEST_CASE("a dead agent may have had a server that is not known here")
{
    lost_flow_fixture it;
    auto gone = it.record_of(2);
    gone.state = member_state::dead;
    gone.slots = 0;
    it.announce(gone);
    it.advance_time(settled);
    it.receive_request();
    it.deny_by_all(1);
    CHECK(it.resets.empty());
}

// The news that its server has started may be lost on the way to one member.
TEST_CASE("members must agree on which agents have no server")
{
    lost_flow_fixture it;
    const auto digest_with_server = it.members->members_digest();
    auto idle = it.record_of(2);
    idle.slots = 0;
    ++idle.version;
    it.announce(idle);
    it.advance_time(settled);
    it.receive_request();
    const auto query = it.queries_to(1).back();
    it.reply(1, {query.sequence, digest_with_server, {}, query.flows, {}});
    it.advance_time(milliseconds(20));
    CHECK(it.resets.empty());
}

TEST_CASE("an agent without a server need not reply")
{
    lost_flow_fixture it;
    auto idle = it.record_of(2);
    idle.slots = 0;
    ++idle.version;
    it.announce(idle);
    it.advance_time(settled);
    it.receive_request();
    it.deny_by_all(1);
    CHECK(it.resets.size() == 1);
}

TEST_CASE("a flow is not reset if an unknown agent has departed lately")
{
    lost_flow_fixture it;
    auto gone = it.record_of(4);
    gone.state = member_state::dead;
    it.announce(gone);
    it.advance_time(settled);
    it.receive_request();
    it.deny_by_all();
    CHECK(it.resets.empty());
}

TEST_CASE("a restarted agent resets a flow only if its server returns a packet")
{
    agent_fixture it;
    it.core->on_registered_agents(it.now, {});
    it.heartbeat(9);
    it.advance_time(settled);
    const auto request = it.data(port, request_bytes);
    it.receive_from_balancer(request);
    REQUIRE(it.to_server.size() == 1);
    SUBCASE("the server is silent")
    {
        it.advance_time(until_query);
        it.receive_from_balancer(request);
        it.advance_time(until_query);
        it.deny_queries(1);
        it.deny_queries(2);
        it.advance_time(seconds(1));
        CHECK(it.resets.empty());
    }
    SUBCASE("the server returns it")
    {
        it.return_packet(request);
        it.advance_time(until_query);
        it.deny_queries(1);
        it.deny_queries(2);
        it.advance_time(milliseconds(20));
        CHECK(it.resets.size() == 1);
    }
}

TEST_CASE("a paused agent does not act on replies from before the pause")
{
    lost_flow_fixture it;
    it.receive_request();
    it.deny_queries(1);
    it.deny_queries(2);
    it.now += seconds(2);
    it.core->tick(it.now);
    it.advance_time(milliseconds(200));
    CHECK(it.resets.empty());
    it.deny_queries(1);
    it.deny_queries(2);
    it.advance_time(milliseconds(20));
    CHECK(it.resets.size() == 1);
}

TEST_CASE("a flow that is opened anew is not reset by older denials")
{
    lost_flow_fixture it;
    it.receive_request();
    it.receive_from_balancer(it.opening(port));
    it.deny_by_all();
    CHECK(it.resets.empty());
}

TEST_CASE("only a packet that needs an answer leads to a reset")
{
    lost_flow_fixture it;
    it.receive_from_balancer(it.data(port, 0));
    it.advance_time(until_query);
    CHECK(it.queries_to(1).empty());
}

TEST_CASE("an agent denies a flow only if it knows all flows of its server")
{
    agent_fixture it;
    const auto ask = [&](const flow_key& flow) -> flow_reply_message
    {
        it.controls.clear();
        it.core->on_control(
            it.now, {it.record_of(1).id, 1, flow_query_message{3, {flow}, 0}});
        return std::get<flow_reply_message>(it.controls.back().message.body);
    };
    const auto unknown = flow_from_caller(it.data(8, 0));
    // No heartbeat yet: the server may be older than the agent.
    CHECK(ask(unknown).absent.empty());
    // The first heartbeat of a server that has just started may be false.
    it.heartbeat(1);
    CHECK(ask(unknown).absent.empty());
    it.advance_time(seconds(1));
    it.heartbeat(2);
    CHECK(ask(unknown).absent.size() == 1);
    it.open_flow(port);
    const auto reply = ask(flow_from_caller(it.data(port, 0)));
    CHECK(reply.held.size() == 1);
    CHECK(reply.absent.empty());
    CHECK(reply.sequence == 3);
    CHECK(reply.members_digest == it.members->members_digest());
}

TEST_CASE("a restarted agent denies a flow once its server has returned it")
{
    agent_fixture it;
    it.heartbeat(9);
    auto asked = it.data(port, request_bytes);
    asked.label.kind = label_kind::locate;
    it.core->on_packet(it.now, it.address_of(2), asked);
    CHECK(it.notices.empty());
    it.return_packet(asked);
    REQUIRE(it.notices.size() == 1);
    CHECK(it.notices.front().to == it.address_of(2));
    CHECK(it.notices.front().label.kind == label_kind::unowned);
}

// Guards against: no slots are reported for a server that only another writer
// has called gone, so that its open flows count as lost; and an agent that
// leaves with its server is taken for one whose server lives on.
TEST_CASE("an agent whose server has left reports no slots once it is gone")
{
    agent_fixture it;
    it.heartbeat(1);
    it.heartbeat(2, true);
    CHECK(it.members->self().slots == 2);
    it.core->on_leave(it.now, "server");
    CHECK(it.members->self().slots == 2);
    CHECK(it.server_checks == 1);
    it.advance_time(milliseconds(20));
    it.core->drain(it.now);
    CHECK(it.server_checks == 2);
    it.core->on_server_not_found(it.now, it.now);
    CHECK(it.members->self().slots == 0);
}
