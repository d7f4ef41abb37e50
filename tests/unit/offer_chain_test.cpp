#include "tests/fakes/agent_fixture.hpp"

#include <doctest/doctest.h>

using namespace briardrum;
using namespace briardrum::tests;

namespace
{

constexpr std::uint16_t port = 3;
constexpr std::uint16_t request_bytes = 300;

} // namespace

// Mass restart: members learn of each other at different times, so the owner of
// a flow may notify other agents than the one that balancers send its packets
// to. Searches for all of these flows would exceed the rate limit.
TEST_CASE("packets of a flow follow its opening packet from agent to agent")
{
    agent_fixture it;
    auto opening = it.opening(port);
    opening.label.hops = 0;
    it.receive_from_balancer(opening);
    REQUIRE(it.count_labelled(label_kind::offer) == 1);
    const auto next = it.sent.back().to;

    it.receive_from_balancer(it.data(port, request_bytes));
    CHECK(it.count_labelled(label_kind::locate) == 0);
    REQUIRE(it.count_labelled(label_kind::relay) == 1);
    CHECK(it.sent.back().to == next);
    // The balancer is told where to send the next packets.
    REQUIRE(it.notices.size() == 1);
    CHECK(it.notices.back().label.kind == label_kind::hint);
    CHECK(it.notices.back().label.owner_address == next.address);
}

TEST_CASE("the owner of a flow takes precedence over the way of its opening")
{
    agent_fixture it;
    auto opening = it.opening(port);
    opening.label.hops = 0;
    it.receive_from_balancer(opening);
    const auto next = it.sent.back().to;
    const std::size_t owner = next == it.address_of(1) ? 2 : 1;
    it.receive_notice(port, label_kind::owned, owner);
    it.receive_from_balancer(it.data(port, request_bytes));
    CHECK(it.sent.back().to == it.address_of(owner));
}

TEST_CASE("an opening packet that settles where no flow is taken is passed on")
{
    agent_fixture it;
    auto packet = it.opening(port);
    packet.label.kind = label_kind::settle;
    packet.label.hops = 8;
    it.receive_from_balancer(packet);
    REQUIRE(it.count_labelled(label_kind::settle) == 1);
    CHECK(it.sent.back().label.hops == 9);
    CHECK(it.core->counters().dropped == 0);
    // The number of hops is limited.
    packet.label.hops = packet_label::hops_max;
    it.receive_from_balancer(packet);
    CHECK(it.count_labelled(label_kind::settle) == 1);
    CHECK(it.core->counters().dropped == 1);
}

TEST_CASE("an agent is given no flows while it has no server")
{
    agent_fixture it;
    server_heartbeat first;
    first.service_name = "orders";
    CHECK(it.core->on_heartbeat(it.now, first) == heartbeat_outcome::changed);
    CHECK(it.members->self().state == member_state::ready);
    it.advance_time(milliseconds(20));
    it.core->on_server_not_found(it.now, it.now);
    CHECK(it.members->self().state == member_state::joining);
    it.advance_time(milliseconds(20));
    server_heartbeat next;
    next.server_id = "next";
    next.service_name = "orders";
    next.sequence = 1;
    next.started_at = seconds(2);
    it.core->on_heartbeat(it.now, next);
    CHECK(it.members->self().state == member_state::ready);
}
