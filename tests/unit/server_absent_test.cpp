#include "io/server/server_presence.hpp"
#include "tests/fakes/agent_fixture.hpp"

#include <doctest/doctest.h>

using namespace briardrum;
using namespace briardrum::tests;

namespace
{

constexpr std::uint16_t open_port = 1;
constexpr std::uint16_t opening_port = 2;
constexpr std::uint32_t loopback = 0x7f000001;

// A server with an open flow and one that it has not accepted yet.
struct absent_server_fixture : agent_fixture
{
    absent_server_fixture()
    {
        heartbeat(1);
        open_flow(open_port);
        receive_from_balancer(data(open_port, 300));
        auto packet = opening(opening_port);
        packet.label.hops = 0;
        receive_from_balancer(packet);
    }
};

} // namespace

TEST_CASE("crashed server: its callers are reset, new flows go to other agents")
{
    absent_server_fixture it;
    it.advance_time(milliseconds(20));
    const auto offered = it.count_labelled(label_kind::offer);
    it.core->on_server_not_found(it.now, it.now);
    REQUIRE(it.resets.size() == 1);
    CHECK(it.resets.front().port == open_port);
    CHECK(it.count_labelled(label_kind::offer) == offered + 1);
    CHECK(it.core->flow_count() == 0);
    CHECK(it.core->admission().busy() == 0);
    CHECK(it.members->self().slots == 0);

    // No flow is given to it until a server has started again.
    const auto sent = it.to_server.size();
    auto packet = it.opening(3);
    packet.label.hops = 0;
    it.receive_from_balancer(packet);
    CHECK(it.to_server.size() == sent);
    it.advance_time(milliseconds(20));
    it.heartbeat(2);
    CHECK(it.members->self().slots == 2);
    packet = it.opening(4);
    it.receive_from_balancer(packet);
    CHECK(it.to_server.size() == sent + 1);
}

TEST_CASE("a server that has spoken since the check began is not absent")
{
    absent_server_fixture it;
    const auto checked_at = it.now;
    it.advance_time(milliseconds(20));
    it.answer_by_server(open_port, false, 300);
    it.core->on_server_not_found(it.now, checked_at);
    CHECK(it.resets.empty());
    CHECK(it.members->self().slots == 2);
}

// A VM that is removed while it starts: its agent must not leave as one whose
// server may live on, which would block proofs of lost flows for a minute.
TEST_CASE("an agent stopped before the first heartbeat looks for its server")
{
    agent_fixture it;
    it.core->drain(it.now);
    REQUIRE(it.server_checks == 1);
    it.core->on_server_not_found(it.now, it.now);
    CHECK(it.members->self().slots == 0);
    agent_fixture other;
    other.heartbeat(1);
    other.core->drain(other.now);
    CHECK(other.server_checks == 0);
    CHECK(other.members->self().slots == 2);
}

TEST_CASE("a server process is looked for only while there is doubt")
{
    local_server it("orders", milliseconds(800));
    const auto start = seconds(10);
    CHECK_FALSE(it.is_in_doubt(start, start));
    // From the first tick on: after a power loss callers wait for the answer.
    CHECK(it.is_in_doubt(start + milliseconds(40), start));
    server_heartbeat heartbeat;
    heartbeat.server_id = "a";
    heartbeat.service_name = "orders";
    heartbeat.sequence = 1;
    it.on_heartbeat(start, heartbeat);
    CHECK_FALSE(it.is_in_doubt(start + seconds(1), start));
    CHECK(it.is_in_doubt(start + milliseconds(1100), start));
    heartbeat.sequence = 2;
    it.on_heartbeat(start + milliseconds(1100), heartbeat);
    it.on_opening_refused(start + milliseconds(1200));
    CHECK(it.is_in_doubt(start + milliseconds(1200), start));
    CHECK(it.on_not_found(start + milliseconds(1300),
                          start + milliseconds(1250)));
    CHECK(it.is_absent());
    CHECK_FALSE(it.is_in_doubt(start + seconds(5), start));
}

TEST_CASE("an agent that found no server knows all flows of the next one")
{
    local_server it("orders", seconds(1));
    REQUIRE(it.on_not_found(seconds(11), seconds(11)));
    server_heartbeat heartbeat;
    heartbeat.server_id = "a";
    heartbeat.service_name = "orders";
    heartbeat.sequence = 4;
    it.on_heartbeat(seconds(20), heartbeat);
    CHECK_FALSE(it.predates_agent());
    CHECK_FALSE(it.is_absent());
}

TEST_CASE("a refused connection shows that no server process listens")
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context,
                                     {asio::ip::address_v4::loopback(), 0});
    const endpoint address{loopback, acceptor.local_endpoint().port()};
    auto found_none = 0;
    server_presence it(context, address,
                       [&](millis, millis started)
                       {
                           CHECK(started == seconds(7));
                           ++found_none;
                       });
    it.check(seconds(7));
    context.run();
    CHECK(found_none == 0);
    acceptor.close();
    context.restart();
    it.check(seconds(7));
    context.run();
    CHECK(found_none == 1);
}
