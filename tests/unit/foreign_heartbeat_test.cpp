#include "tests/fakes/agent_fixture.hpp"

#include <doctest/doctest.h>

using namespace briardrum;
using namespace briardrum::tests;

namespace
{

constexpr auto interval = seconds(1);
constexpr std::uint16_t open_port = 1;
constexpr std::uint16_t query_port = 99;
constexpr std::uint16_t request_bytes = 300;

// An agent beside a server that sends heartbeats, and another writer.
struct two_writers : agent_fixture
{
    // Heartbeats of the server's own, once in an interval.
    auto beat_for(millis span) -> void
    {
        const auto end = now + span;
        while (now < end)
        {
            advance_time(interval);
            beat();
        }
    }

    auto beat() -> heartbeat_outcome
    {
        own.sequence += 1;
        return core->on_heartbeat(now, own);
    }

    // Returns true if the server is given a new flow.
    auto takes_new_flow() -> bool
    {
        const auto before = to_server.size();
        auto packet = opening(next_port);
        packet.label.hops = 0;
        packet.label.service = service_tag_of(own.service_name);
        receive_from_balancer(packet);
        const auto taken = to_server.size() == before + 1;
        answer_by_server(next_port, true, 0);
        receive_from_balancer(data(next_port, 0));
        ++next_port;
        return taken;
    }

    // Returns true if a request on the open flow reaches the server.
    auto serves_open_flow() -> bool
    {
        const auto before = to_server.size();
        receive_from_balancer(data(open_port, request_bytes));
        answer_by_server(open_port, false, request_bytes);
        return to_server.size() == before + 1;
    }

    auto denies_unknown_flow() -> bool
    {
        controls.clear();
        const auto flow = flow_from_caller(data(query_port, 0));
        core->on_control(
            now, {record_of(1).id, 1, flow_query_message{3, {flow}, 0}});
        return !std::get<flow_reply_message>(controls.back().message.body)
                    .absent.empty();
    }

    auto is_as_before() -> bool
    {
        const auto& self = members->self();
        return resets.empty() && self.service_name == "orders" &&
               self.state == member_state::ready && self.slots == 2;
    }

    server_heartbeat own = start_of("server", seconds(50));
    std::uint16_t next_port = 10;

    static auto start_of(const std::string& id, millis started)
        -> server_heartbeat
    {
        server_heartbeat out;
        out.server_id = id;
        out.service_name = "orders";
        out.slots = 2;
        out.started_at = started;
        return out;
    }
};

// A server that is heard since its start, with an open flow.
struct serving_agent : two_writers
{
    serving_agent()
    {
        core->on_server_not_found(now, now);
        beat();
        open_flow(open_port);
        beat_for(seconds(4));
    }
};

auto other_start() -> server_heartbeat
{
    auto out = two_writers::start_of("other", seconds(103));
    out.sequence = 1;
    return out;
}

} // namespace

// Guards against (review/8): one heartbeat of another writer, well formed, is
// taken for a new incarnation, and every open flow of the server is reset.
TEST_CASE("a heartbeat of another writer changes nothing for a living server")
{
    serving_agent it;
    auto odd = other_start();
    SUBCASE("another id, a service that is not configured")
    {
        odd.service_name = "invoices";
    }
    SUBCASE("another id, the server's own service") {}
    SUBCASE("the server's own id, a later start")
    {
        odd.server_id = it.own.server_id;
    }
    SUBCASE("the server's own id and start, another service")
    {
        odd = it.own;
        odd.sequence += 1;
        odd.service_name = "invoices";
    }
    SUBCASE("another id that says it drains")
    {
        odd.draining = true;
    }
    SUBCASE("another id with a number that rises")
    {
        odd.sequence = 1000;
    }
    // Once, and then after each of the server's own.
    for (auto n = 0; n < 20; ++n)
    {
        it.advance_time(milliseconds(300));
        odd.sequence += 1;
        it.core->on_heartbeat(it.now, odd);
        REQUIRE(it.is_as_before());
        REQUIRE(it.serves_open_flow());
        REQUIRE(it.takes_new_flow());
        it.advance_time(milliseconds(700));
        it.beat();
        REQUIRE(it.is_as_before());
    }
    CHECK(it.denies_unknown_flow());
}

// Guards against: a false heartbeat comes first, and the server is shut out
// until it has been silent for three intervals, or its service is taken over.
TEST_CASE("a heartbeat of another writer before the server's first is undone")
{
    two_writers it;
    auto odd = other_start();
    SUBCASE("a service that is not configured")
    {
        odd.service_name = "invoices";
    }
    SUBCASE("the configured service") {}
    it.core->on_heartbeat(it.now, odd);
    CHECK(it.members->self().service_name == "orders");
    it.beat_for(interval * 3);
    CHECK(it.core->server().server_id() == "server");
    CHECK(it.is_as_before());
    CHECK(it.takes_new_flow());
}

// Guards against: after a restart of the agent a false heartbeat makes its
// server younger than the agent, which then denies the flows that it holds; or
// the server's own heartbeat replaces the false one, and they are reset.
TEST_CASE("a heartbeat of another writer after a restart of the agent denies "
          "and resets nothing")
{
    two_writers it;
    it.own.sequence = 40;
    auto odd = other_start();
    SUBCASE("another id") {}
    SUBCASE("the server's own id")
    {
        odd.server_id = it.own.server_id;
    }
    SUBCASE("the server's own id and start")
    {
        odd.server_id = it.own.server_id;
        odd.started_at = it.own.started_at;
    }
    it.core->on_heartbeat(it.now, odd);
    CHECK_FALSE(it.denies_unknown_flow());
    // A flow that the server holds, and the agent has never seen.
    const auto sent = it.to_server.size();
    it.receive_from_balancer(it.data(open_port, request_bytes));
    CHECK(it.to_server.size() == sent + 1);
    it.answer_by_server(open_port, false, request_bytes);
    for (auto n = 0; n < 6; ++n)
    {
        it.beat_for(interval);
        CHECK_FALSE(it.denies_unknown_flow());
        CHECK(it.serves_open_flow());
    }
    CHECK(it.is_as_before());
    CHECK(it.takes_new_flow());
}

// Guards against: other fields of a false heartbeat under the server's own id
// and start are believed: the server gets no new flows, or too many.
TEST_CASE("a false heartbeat under the server's own id leaves its fields")
{
    serving_agent it;
    auto odd = it.own;
    odd.sequence += 1;
    auto drains = false;
    SUBCASE("many slots")
    {
        odd.slots = 100000;
    }
    SUBCASE("a number far ahead")
    {
        odd.sequence = (1ULL << 53U) - 1;
    }
    SUBCASE("it drains")
    {
        odd.draining = true;
        drains = true;
    }
    SUBCASE("it drains, and its number is far ahead")
    {
        odd.draining = true;
        odd.sequence = (1ULL << 53U) - 1;
        drains = true;
    }
    it.advance_time(milliseconds(300));
    it.core->on_heartbeat(it.now, odd);
    CHECK(it.serves_open_flow());
    // A server that drains must not get new flows, so this counts at once.
    CHECK(it.is_as_before() == !drains);
    it.advance_time(milliseconds(700));
    it.beat();
    it.beat_for(interval * 2);
    CHECK(it.is_as_before());
    CHECK(it.takes_new_flow());
    CHECK(it.serves_open_flow());
}

// Guards against: while a server drains, another writer calls it ready, and it
// gets new flows that it cannot finish.
TEST_CASE("a server that drains is not called ready by one heartbeat")
{
    serving_agent it;
    it.own.draining = true;
    it.beat();
    auto odd = it.own;
    odd.draining = false;
    odd.sequence += 1;
    it.core->on_heartbeat(it.now, odd);
    CHECK(it.members->self().state == member_state::draining);
    CHECK_FALSE(it.takes_new_flow());
}

// Guards against: a leave call of another writer shuts the server out until its
// next start, and tells the members that no flow can be open here.
TEST_CASE("a leave call of another writer does not end a living server")
{
    serving_agent it;
    SUBCASE("the server is ready")
    {
        it.core->on_leave(it.now, "server");
        CHECK(it.server_checks > 0);
        CHECK(it.is_as_before());
        CHECK(it.takes_new_flow());
        it.beat_for(interval);
        const auto checks = it.server_checks;
        it.beat_for(interval);
        CHECK(it.server_checks == checks);
    }
    SUBCASE("the server drains, and keeps its flows")
    {
        it.own.draining = true;
        it.beat();
        it.core->on_leave(it.now, "server");
        CHECK(it.members->self().slots == 2);
    }
    CHECK(it.resets.empty());
    CHECK(it.serves_open_flow());
}

// Guards against: a defence that shuts out a server that has really started.
TEST_CASE("a new incarnation is given flows, and the lost ones are reset")
{
    serving_agent it;
    auto next = other_start();
    SUBCASE("its predecessor's process was found to have ended")
    {
        it.advance_time(milliseconds(20));
        it.core->on_server_not_found(it.now, it.now);
        CHECK(it.resets.size() == 1);
    }
    SUBCASE("its predecessor's process refused an opening packet")
    {
        auto packet = it.opening(5);
        packet.label.hops = 0;
        it.receive_from_balancer(packet);
        it.reset_by_server(5);
    }
    SUBCASE("the server no longer holds a flow that was in use")
    {
        REQUIRE(it.takes_new_flow());
        REQUIRE(it.serves_open_flow());
        const auto request = it.data(open_port, request_bytes);
        it.receive_from_balancer(request);
        it.return_packet(request);
        CHECK(it.resets.size() == 1);
    }
    SUBCASE("the same id starts again")
    {
        it.advance_time(milliseconds(20));
        it.core->on_server_not_found(it.now, it.now);
        next.server_id = it.own.server_id;
    }
    it.advance_time(interval);
    CHECK(it.core->on_heartbeat(it.now, next) == heartbeat_outcome::replaced);
    CHECK(it.resets.size() == 1);
    CHECK_FALSE(it.core->server().predates_agent());
    it.own = next;
    CHECK(it.takes_new_flow());
    it.beat_for(interval);
    CHECK(it.members->self().state == member_state::ready);
}

// Guards against: a restart that nothing showed, so that the new incarnation
// waits for evidence that never comes.
TEST_CASE("a new incarnation is accepted once its predecessor is silent")
{
    serving_agent it;
    it.own = two_writers::start_of("next", seconds(103));
    SUBCASE("of the same service") {}
    SUBCASE("of another service, at an address that is used again")
    {
        it.advance_time(milliseconds(20));
        it.core->on_server_not_found(it.now, it.now);
        it.own.service_name = "invoices";
    }
    it.beat_for(interval * 3);
    CHECK(it.core->server().server_id() == "next");
    CHECK(it.members->self().service_name == it.own.service_name);
    CHECK(it.takes_new_flow());
}

// Guards against: a server whose service was renamed is refused for good, or
// loses its flows.
TEST_CASE("a server whose service is renamed keeps its flows")
{
    serving_agent it;
    it.own.service_name = "orders-2";
    it.beat_for(interval * 3);
    CHECK(it.members->self().service_name == "orders-2");
    CHECK(it.resets.empty());
    CHECK(it.takes_new_flow());
    CHECK(it.serves_open_flow());
}

// Guards against: a server of a service that was renamed while its agent was
// away is never accepted.
TEST_CASE("a first server of another service is accepted when it goes on")
{
    two_writers it;
    it.own.service_name = "orders-2";
    it.beat_for(interval * 3);
    CHECK(it.members->self().service_name == "orders-2");
    CHECK(it.takes_new_flow());
}

// Guards against: a server that has drained and left blocks its successor.
TEST_CASE("the successor of a server that has left is accepted at once")
{
    serving_agent it;
    it.own.draining = true;
    it.beat();
    it.core->on_leave(it.now, "server");
    it.own = other_start();
    it.beat();
    CHECK(it.core->server().server_id() == "other");
    CHECK(it.takes_new_flow());
    // Nothing has shown that the former process has ended.
    CHECK(it.resets.empty());
}
