#include "tests/fakes/agent_fixture.hpp"

#include <algorithm>
#include <doctest/doctest.h>

using namespace briardrum;
using namespace briardrum::tests;

namespace
{

constexpr std::uint16_t full_payload = 1200;
constexpr std::uint16_t small_payload = 300;

auto has_event(const agent_fixture& it, const std::string& text) -> bool
{
    return std::any_of(it.events.begin(), it.events.end(),
                       [&](const std::string& line)
                       {
                           return line.find(text) != std::string::npos;
                       });
}

} // namespace

TEST_CASE("an opening packet is sent to the server if a slot is free")
{
    agent_fixture it;
    it.heartbeat(1);
    it.receive_from_balancer(it.opening(1));
    REQUIRE(it.to_server.size() == 1);
    CHECK(it.to_server.front().opens);
    CHECK(it.core->admission().busy() == 1);
}

TEST_CASE("nothing is sent to the server before its first heartbeat")
{
    agent_fixture it;
    auto packet = it.opening(1);
    packet.label.hops = 0;
    it.receive_from_balancer(packet);
    CHECK(it.to_server.empty());
    CHECK(it.count_labelled(label_kind::offer) == 1);
}

TEST_CASE("a packet for another service never reaches the server")
{
    agent_fixture it;
    it.heartbeat(1);
    auto packet = it.opening(1);
    packet.label.service = service_tag_of("surveys");
    it.receive_from_balancer(packet);
    auto late = it.data(1, small_payload);
    late.label.service = service_tag_of("surveys");
    it.receive_from_balancer(late);
    CHECK(it.to_server.empty());
    CHECK(it.core->counters().wrong_service == 2);
}

// Guards against: the route, or the server's service, was renamed since a flow
// was opened, and its packets are refused beside the server that holds it.
TEST_CASE("a packet of an open flow reaches its server under any service")
{
    agent_fixture it;
    it.heartbeat(1);
    it.open_flow(1);
    const auto sent = it.to_server.size();
    auto request = it.data(1, small_payload);
    request.label.service = service_tag_of("surveys");
    SUBCASE("from a balancer") {}
    SUBCASE("in a search")
    {
        request.label.kind = label_kind::locate;
    }
    it.receive_from_balancer(request);
    CHECK(it.to_server.size() == sent + 1);
    // A copy of the opening packet may open another flow.
    auto copy = it.opening(1, 1);
    copy.label.service = service_tag_of("surveys");
    it.receive_from_balancer(copy);
    CHECK(it.core->counters().wrong_service == 1);
}

TEST_CASE("an upload uses a slot only once it is complete")
{
    agent_fixture it;
    it.heartbeat(1);
    it.open_flow(1);
    it.receive_from_balancer(it.data(1, full_payload));
    CHECK(it.core->admission().busy() == 0);
    it.receive_from_balancer(it.data(1, small_payload));
    CHECK(it.core->admission().busy() == 1);
    it.answer_by_server(1, false, small_payload);
    CHECK(it.core->admission().busy() == 0);
}

TEST_CASE("a request header in a separate packet does not hold a slot")
{
    agent_fixture it;
    it.heartbeat(1);
    it.open_flow(1);
    it.receive_from_balancer(it.data(1, small_payload));
    it.receive_from_balancer(it.data(1, full_payload));
    CHECK(it.core->admission().busy() == 0);
}

// Long flows: a packet may reach the server twice, by two ways or because its
// acknowledgement was lost.
TEST_CASE("a retransmitted request does not use a slot after its answer")
{
    agent_fixture it;
    it.heartbeat(1);
    it.open_flow(1);
    const auto request = it.data(1, small_payload);
    it.receive_from_balancer(request);
    it.answer_by_server(1, false, small_payload);
    REQUIRE(it.core->admission().busy() == 0);
    it.receive_from_balancer(request);
    CHECK(it.core->admission().busy() == 0);
    // The next request of the flow uses one.
    it.receive_from_balancer(it.data(1, small_payload));
    CHECK(it.core->admission().busy() == 1);
}

TEST_CASE("the slot of an unresponsive caller is released")
{
    agent_fixture it;
    it.heartbeat(1);
    it.receive_from_balancer(it.opening(1));
    it.answer_by_server(1, true, 0);
    REQUIRE(it.core->admission().busy() == 1);
    it.advance_time(milliseconds(100));
    CHECK(it.core->admission().busy() == 0);
    // The request arrives after the slot was released.
    it.receive_from_balancer(it.data(1, small_payload));
    CHECK(it.core->admission().busy() == 1);
}

TEST_CASE("a draining server receives no new flows and keeps its open ones")
{
    agent_fixture it;
    it.heartbeat(1);
    it.open_flow(1);
    it.heartbeat(2, true);
    CHECK(it.members->self().state == member_state::draining);
    const auto before = it.to_server.size();
    auto packet = it.opening(2);
    packet.label.hops = 0;
    it.receive_from_balancer(packet);
    CHECK(it.to_server.size() == before);
    CHECK(it.count_labelled(label_kind::offer) == 1);
    it.receive_from_balancer(it.data(1, small_payload));
    CHECK(it.to_server.size() == before + 1);
}

TEST_CASE("queued flows are offered to other agents when the server drains")
{
    agent_fixture it;
    it.heartbeat(1);
    // Two slots and an overcommit of three: the sixth flow is queued.
    for (std::uint16_t port = 1; port <= 6; ++port)
    {
        auto packet = it.opening(port);
        packet.label.kind = label_kind::settle;
        it.receive_from_balancer(packet);
    }
    REQUIRE(it.core->admission().waiting() == 1);
    it.heartbeat(2, true);
    it.advance_time(milliseconds(20));
    CHECK(it.core->admission().waiting() == 0);
    CHECK(it.resets.empty());
}

TEST_CASE("a returned opening packet is offered to the next agent")
{
    agent_fixture it;
    it.heartbeat(1);
    auto packet = it.opening(1);
    packet.label.hops = 0;
    packet.label.kind = label_kind::offer;
    it.receive_from_balancer(packet);
    REQUIRE(it.to_server.size() == 1);
    it.return_packet(packet);
    CHECK(it.core->admission().busy() == 0);
    CHECK(it.count_labelled(label_kind::offer) == 1);
    CHECK(it.resets.empty());
}

TEST_CASE(
    "a confirmed flow that its server lost is reset, an unconfirmed one is not")
{
    agent_fixture it;
    it.heartbeat(1);
    it.open_flow(1);
    it.receive_from_balancer(it.data(1, small_payload));
    it.answer_by_server(1, false, 0);
    it.return_packet(it.data(1, small_payload));
    CHECK(it.resets.size() == 1);

    // The caller opened the flow at another server, where it is searched for.
    it.receive_from_balancer(it.opening(2));
    it.answer_by_server(2, true, 0);
    it.return_packet(it.data(2, small_payload));
    CHECK(it.resets.size() == 1);
    CHECK(it.count_labelled(label_kind::locate) == 2);
}

TEST_CASE("a reset from the server for a probed flow is not sent to the caller")
{
    agent_fixture it;
    // The server is older than the agent, so it may hold flows that the agent
    // has never seen.
    it.heartbeat(40);
    auto shown = it.data(1, small_payload);
    shown.label.kind = label_kind::locate;
    it.core->on_packet(it.now, it.address_of(1), shown);
    REQUIRE(it.to_server.size() == 1);
    flow_packet reset;
    reset.source = shown.destination;
    reset.destination = shown.source;
    reset.resets = true;
    it.core->on_server_packet(it.now, reset);
    CHECK(it.to_caller.empty());
    CHECK(it.core->flow_count() == 0);
    CHECK(has_event(it, "event=reset_withheld"));
}

TEST_CASE("an opening packet refused by the server is offered to another agent")
{
    agent_fixture it;
    it.heartbeat(1);
    auto packet = it.opening(1);
    packet.label.hops = 0;
    packet.label.kind = label_kind::offer;
    it.receive_from_balancer(packet);
    flow_packet reset;
    reset.source = packet.destination;
    reset.destination = packet.source;
    reset.resets = true;
    it.core->on_server_packet(it.now, reset);
    CHECK(it.to_caller.empty());
    CHECK(it.count_labelled(label_kind::offer) == 1);
    CHECK_FALSE(it.core->server().accepts_new_flows(it.now));
    CHECK(it.core->server().accepts_new_flows(it.now + milliseconds(300)));
}

TEST_CASE("a packet released by a search does not start another search")
{
    agent_fixture it;
    it.start_server();
    for (int n = 0; n < 50; ++n)
    {
        it.receive_from_balancer(it.data(1, small_payload));
        it.receive_notice(1, label_kind::owned, 1);
        // The owner is gone by the time the packet is relayed.
        auto record = *it.members->find(member_id_of("agent-1"));
        record.state = member_state::dead;
        control_message message;
        message.from = member_id_of("agent-2");
        message.body = gossip_message{{record}, false};
        it.members->on_control(it.now, message);
    }
    CHECK(it.core->counters().searches == 1);
}

TEST_CASE("packets are held during a search and relayed to the owner")
{
    agent_fixture it;
    it.start_server();
    it.receive_from_balancer(it.data(1, small_payload));
    it.receive_from_balancer(it.data(1, 0));
    CHECK(it.count_labelled(label_kind::locate) == 2);
    CHECK(it.count_labelled(label_kind::relay) == 0);
    it.receive_notice(1, label_kind::owned, 2);
    REQUIRE(it.count_labelled(label_kind::relay) == 1);
    CHECK(it.sent.back().to == it.address_of(2));
}

TEST_CASE("a flow is not reset because the agents asked for it deny it")
{
    agent_fixture it;
    it.heartbeat(1);
    for (int n = 0; n < 10; ++n)
    {
        it.receive_from_balancer(it.data(1, small_payload));
        it.receive_notice(1, label_kind::unowned, 1);
        it.receive_notice(1, label_kind::unowned, 1);
        it.receive_notice(1, label_kind::unowned, 2);
        it.advance_time(milliseconds(200));
    }
    CHECK(has_event(it, "event=owner_denied"));
    CHECK(it.resets.empty());
}

TEST_CASE("flows of a replaced server are reset at once, except for young ones")
{
    agent_fixture it;
    it.heartbeat(5);
    it.open_flow(1);
    it.advance_time(seconds(3));
    it.heartbeat(6);
    it.open_flow(2);
    server_heartbeat next;
    next.server_id = "server-2";
    next.service_name = "orders";
    next.slots = 2;
    next.sequence = 1;
    next.started_at = seconds(102);
    // The heartbeat alone may come from another writer.
    CHECK(it.core->on_heartbeat(it.now, next) ==
          heartbeat_outcome::unconfirmed);
    CHECK(it.resets.empty());
    // An opening packet that is refused shows that the process has ended.
    it.receive_from_balancer(it.opening(3));
    it.reset_by_server(3);
    CHECK(it.core->on_heartbeat(it.now, next) == heartbeat_outcome::replaced);
    REQUIRE(it.resets.size() == 1);
    CHECK(it.resets.front().port == 1);
}

TEST_CASE("the first agents of the rendezvous order are notified of the owner")
{
    agent_fixture it;
    it.heartbeat(1);
    it.receive_from_balancer(it.opening(1));
    // One of the first agents may be this agent itself.
    CHECK(it.notices.size() >= 1);
    for (const auto& notice : it.notices)
    {
        CHECK(notice.label.kind == label_kind::owned);
    }
}

TEST_CASE("only a first opening packet is refused with a reset")
{
    packet_agent_settings settings;
    settings.admission.late_flows_per_slot = 8;
    agent_fixture it(2, settings);
    it.heartbeat(1);
    for (std::uint16_t port = 1; port <= 60; ++port)
    {
        auto packet = it.opening(port);
        packet.label.kind = label_kind::settle;
        it.receive_from_balancer(packet);
    }
    const auto refused = it.resets.size();
    CHECK(refused > 0);
    for (std::uint16_t port = 61; port <= 80; ++port)
    {
        auto packet = it.opening(port, 1);
        packet.label.kind = label_kind::settle;
        it.receive_from_balancer(packet);
    }
    CHECK(it.resets.size() == refused);
    // Flows that expire in the queue are dropped without a reset: a
    // retransmission may have opened them elsewhere.
    it.advance_time(seconds(2));
    CHECK(it.core->admission().waiting() == 0);
    CHECK(it.resets.size() == refused);
}

TEST_CASE("a retransmitted opening packet does not open a second flow")
{
    agent_fixture it;
    it.heartbeat(1);
    it.receive_from_balancer(it.opening(1));
    it.receive_from_balancer(it.opening(1, 1));
    CHECK(it.to_server.size() == 1);
    CHECK(it.core->admission().busy() == 1);
    // An unanswered opening packet is delivered again.
    it.now += milliseconds(120);
    it.receive_from_balancer(it.opening(1, 1));
    CHECK(it.to_server.size() == 2);
    CHECK(it.core->admission().busy() == 1);
}

TEST_CASE("an unresponsive server is only sent an opening packet at intervals")
{
    agent_fixture it;
    it.heartbeat(1);
    it.receive_from_balancer(it.opening(1));
    it.now += milliseconds(200);
    auto packet = it.opening(2);
    packet.label.hops = 0;
    it.receive_from_balancer(packet);
    CHECK(it.to_server.size() == 1);
    CHECK(it.count_labelled(label_kind::offer) == 1);
    it.now += milliseconds(100);
    it.receive_from_balancer(it.opening(3));
    CHECK(it.to_server.size() == 2);
}

TEST_CASE("an opening packet older than the refusal window is not reset")
{
    agent_fixture it;
    it.heartbeat(1);
    std::uint16_t port = 1;
    for (; it.resets.empty() && port < 100; ++port)
    {
        auto packet = it.opening(port);
        packet.label.kind = label_kind::settle;
        it.receive_from_balancer(packet);
    }
    REQUIRE(it.resets.size() == 1);
    auto packet = it.opening(port);
    packet.label.kind = label_kind::settle;
    packet.label.waited_ms = 250;
    it.receive_from_balancer(packet);
    CHECK(it.resets.size() == 1);
}

TEST_CASE("an opening packet that the server returns late is not reset")
{
    agent_fixture it;
    it.heartbeat(1);
    it.receive_from_balancer(it.opening(1));
    REQUIRE(it.to_server.size() == 1);
    const auto packet = it.to_server.front();
    SUBCASE("at once: the flow cannot be open elsewhere, so it is reset")
    {
        it.return_packet(packet);
        CHECK(it.resets.size() == 1);
    }
    SUBCASE("after the first retransmission: it may be open elsewhere")
    {
        it.now += milliseconds(250);
        it.return_packet(packet);
        CHECK(it.resets.empty());
    }
}

TEST_CASE(
    "packets that acknowledge another server start a search for the owner")
{
    agent_fixture it;
    it.heartbeat(1);
    it.receive_from_balancer(it.opening(1));
    it.accept_by_server(1, 5000);
    const auto before = it.to_server.size();
    auto packet = it.data(1, small_payload);
    packet.acknowledged = 900'000'001;
    it.receive_from_balancer(packet);
    CHECK(it.to_server.size() == before);
    CHECK(it.count_labelled(label_kind::locate) == 2);
    CHECK(it.core->admission().busy() == 0);
}

TEST_CASE("a reset from the server is only sent for a flow opened at it")
{
    agent_fixture it;
    it.heartbeat(1);
    it.receive_from_balancer(it.opening(1));
    it.accept_by_server(1, 5000);
    it.advance_time(milliseconds(100));
    const auto sent = it.to_caller.size();
    SUBCASE("not acknowledged: it may be open at another server")
    {
        it.reset_by_server(1);
        CHECK(it.to_caller.size() == sent);
    }
    SUBCASE("acknowledged: it is this server's flow")
    {
        auto packet = it.data(1, small_payload);
        packet.acknowledged = 5001;
        it.receive_from_balancer(packet);
        it.reset_by_server(1);
        CHECK(it.to_caller.size() == sent + 1);
    }
}

TEST_CASE("unconfirmed flows of a replaced server are removed without a reset")
{
    agent_fixture it;
    it.heartbeat(1);
    it.receive_from_balancer(it.opening(1));
    it.accept_by_server(1, 5000);
    it.advance_time(seconds(3));
    server_heartbeat next;
    next.server_id = "other";
    next.service_name = "orders";
    next.slots = 2;
    next.sequence = 1;
    next.started_at = seconds(50);
    it.receive_from_balancer(it.opening(2));
    it.reset_by_server(2);
    CHECK(it.core->on_heartbeat(it.now, next) == heartbeat_outcome::replaced);
    CHECK(it.resets.empty());
    CHECK(it.core->flow_count() == 0);
}

// After a power loss, callers retransmit packets of thousands of flows that no
// server holds any more. A token bucket limits the searches.
TEST_CASE("the rate of searches for lost flows is limited")
{
    constexpr std::size_t others = 60;
    agent_fixture it(others);
    it.start_server();
    for (std::uint16_t port = 1; port <= 4000; ++port)
    {
        it.receive_from_balancer(it.data(port, small_payload));
    }
    // The burst is twice the messages that an agent may send per second.
    CHECK(it.count_labelled(label_kind::locate) <=
          2 * owner_search::messages_per_second);
    CHECK(it.count_labelled(label_kind::locate) >=
          owner_search::messages_per_second);
    const auto before = it.count_labelled(label_kind::locate);
    it.advance_time(seconds(1));
    for (std::uint16_t port = 5000; port <= 9000; ++port)
    {
        it.receive_from_balancer(it.data(port, small_payload));
    }
    CHECK(it.count_labelled(label_kind::locate) > before);
    CHECK(has_event(it, "event=search_deferred"));
}

// A restarted agent no longer knows that its server has only accepted a
// retransmitted opening packet of the flow; the server stays silent about the
// packets it is probed with.
TEST_CASE("no more packets of a flow are sent to a server silent about it")
{
    agent_fixture it;
    it.heartbeat(40);
    it.receive_from_balancer(it.data(1, small_payload));
    REQUIRE(it.to_server.size() == 1);
    for (int n = 0; n < 3; ++n)
    {
        it.advance_time(milliseconds(200));
        it.receive_from_balancer(it.data(1, small_payload));
    }
    CHECK(it.to_server.size() == 1);
    CHECK(it.count_labelled(label_kind::locate) >= 2);
    it.receive_notice(1, label_kind::owned, 2);
    it.receive_from_balancer(it.data(1, small_payload));
    CHECK(it.to_server.size() == 1);
    REQUIRE_FALSE(it.sent.empty());
    CHECK(it.sent.back().label.kind == label_kind::relay);
    CHECK(it.sent.back().to == it.address_of(2));
}

TEST_CASE("an agent asked in a search does not start a search itself")
{
    agent_fixture it;
    it.heartbeat(40);
    auto asked = it.data(1, small_payload);
    asked.label.kind = label_kind::locate;
    it.core->on_packet(it.now, it.address_of(1), asked);
    REQUIRE(it.to_server.size() == 1);
    it.return_packet(it.to_server.front());
    CHECK(it.count_labelled(label_kind::locate) == 0);
    CHECK(it.core->counters().searches == 0);
    // A packet that comes from a caller does start a search.
    it.receive_from_balancer(it.data(2, small_payload));
    it.return_packet(it.to_server.back());
    CHECK(it.count_labelled(label_kind::locate) == 2);
}
