#include "packets/agent/local_server.hpp"

#include <doctest/doctest.h>

using namespace briardrum;

namespace
{

constexpr auto interval = seconds(1);

auto make_heartbeat(const std::string& id, std::int64_t started,
                    std::uint64_t sequence) -> server_heartbeat
{
    server_heartbeat out;
    out.server_id = id;
    out.service_name = "orders";
    out.slots = 3;
    out.sequence = sequence;
    out.started_at = seconds(started);
    return out;
}

} // namespace

TEST_CASE("an out-of-order heartbeat of the same incarnation is ignored")
{
    local_server it("orders", interval);
    auto leaving = make_heartbeat("a", 10, 5);
    leaving.draining = true;
    it.on_heartbeat(seconds(100), leaving);
    const auto late = make_heartbeat("a", 10, 4);
    CHECK(it.on_heartbeat(seconds(101), late) == heartbeat_outcome::late);
    CHECK(it.is_draining());
}

TEST_CASE(
    "a heartbeat of an older incarnation is outdated while the newer is live")
{
    local_server it("orders", interval);
    it.on_heartbeat(seconds(100), make_heartbeat("b", 20, 1));
    const auto old = make_heartbeat("a", 10, 99);
    CHECK(it.on_heartbeat(seconds(101), old) == heartbeat_outcome::outdated);
    CHECK(it.incarnation_started() == seconds(20));
}

TEST_CASE(
    "a server with an earlier start time is accepted once the other is silent")
{
    local_server it("orders", interval);
    it.on_heartbeat(seconds(100), make_heartbeat("b", 20, 7));
    const auto next = make_heartbeat("c", 18, 1);
    CHECK(it.on_heartbeat(seconds(102), next) == heartbeat_outcome::outdated);
    CHECK(it.on_heartbeat(seconds(104), next) == heartbeat_outcome::replaced);
    CHECK_FALSE(it.predates_agent());
}

// Guards against: one heartbeat of another writer, well formed and with an
// extreme sequence number, after which the server was never heard again.
TEST_CASE("a server is heard again after a false heartbeat with a large "
          "sequence number")
{
    const auto bound = interval * local_server::heartbeats_missed_max;
    for (const auto draining : {false, true})
    {
        CAPTURE(draining);
        local_server it("orders", interval);
        it.on_heartbeat(seconds(100), make_heartbeat("a", 10, 5));
        auto odd = make_heartbeat("a", 10, (1ULL << 53U) - 1);
        odd.draining = draining;
        it.on_heartbeat(seconds(100) + milliseconds(300), odd);
        std::uint64_t sequence = 6;
        auto now = seconds(101);
        auto outcome = heartbeat_outcome::late;
        for (; outcome == heartbeat_outcome::late; now = now + interval)
        {
            REQUIRE(now <= seconds(101) + bound);
            outcome = it.on_heartbeat(now, make_heartbeat("a", 10, sequence++));
        }
        CHECK_FALSE(it.is_draining());
        CHECK(it.accepts_new_flows(now));
        CHECK(it.on_heartbeat(now, make_heartbeat("a", 10, sequence)) ==
              heartbeat_outcome::renewed);
    }
}

TEST_CASE("heartbeats that were delayed and arrive together are late")
{
    local_server it("orders", interval);
    it.on_heartbeat(seconds(100), make_heartbeat("a", 10, 50));
    for (std::uint64_t n = 10; n < 20; ++n)
    {
        const auto now = seconds(104) + milliseconds(static_cast<int>(n));
        CHECK(it.on_heartbeat(now, make_heartbeat("a", 10, n)) ==
              heartbeat_outcome::late);
    }
    CHECK(it.on_heartbeat(seconds(105), make_heartbeat("a", 10, 51)) ==
          heartbeat_outcome::renewed);
    CHECK(it.on_heartbeat(seconds(109), make_heartbeat("a", 10, 20)) ==
          heartbeat_outcome::late);
}

TEST_CASE("a server that drains is heard whatever the sequence number")
{
    local_server it("orders", interval);
    it.on_heartbeat(seconds(100), make_heartbeat("a", 10, 1000));
    auto leaving = make_heartbeat("a", 10, 6);
    leaving.draining = true;
    CHECK(it.on_heartbeat(seconds(101), leaving) == heartbeat_outcome::changed);
    CHECK(it.is_draining());
}

// Guards against: a restarted agent that heard a false heartbeat first took its
// server for younger than itself, and denied the flows that it holds.
TEST_CASE("a server that is heard after another one may still be older than "
          "the agent")
{
    local_server it("orders", interval);
    it.on_heartbeat(seconds(100), make_heartbeat("odd", 1, 1));
    CHECK(it.predates_agent());
    CHECK(it.on_heartbeat(seconds(101), make_heartbeat("a", 10, 50)) ==
          heartbeat_outcome::unconfirmed);
    CHECK(it.predates_agent());
    CHECK(it.on_heartbeat(seconds(102), make_heartbeat("a", 10, 51)) ==
          heartbeat_outcome::replaced);
    CHECK(it.predates_agent());
}

// Guards against: a restarted agent whose check found no server process, before
// the first heartbeat came, took a server that had run all the while for
// younger than itself, and open flows were reset.
TEST_CASE("a server that was not found may still be older than the agent")
{
    local_server it("orders", interval);
    REQUIRE(it.on_not_found(seconds(100), seconds(100)));
    SUBCASE("its heartbeat has a number that it cannot have reached since")
    {
        it.on_heartbeat(seconds(101), make_heartbeat("a", 10, 16));
        CHECK(it.predates_agent());
    }
    SUBCASE("it has started since")
    {
        it.on_heartbeat(seconds(103), make_heartbeat("a", 100, 3));
        CHECK_FALSE(it.predates_agent());
    }
    CHECK_FALSE(it.is_absent());
}

// Guards against: a false heartbeat of a server that starts in the far future
// replaces the server, and the real one counts as outdated.
TEST_CASE("a heartbeat of another address or from the future is refused")
{
    auto it = make_heartbeat("a", 1000, 5);
    it.address = {1, 2};
    const auto wall_time = seconds(1000);
    CHECK(check_heartbeat(it, {1, 2}, wall_time).ok());
    // Wall clocks differ, and may jump by seconds.
    CHECK(check_heartbeat(it, {1, 2}, wall_time - seconds(10)).ok());
    CHECK(check_heartbeat(it, {1, 3}, wall_time).message() ==
          "address is 0.0.0.1:2 and not that of the server beside this agent, "
          "0.0.0.1:3");
    it.started_at = wall_time + minutes(11);
    CHECK(error_kind_of(check_heartbeat(it, {1, 2}, wall_time)) ==
          error_kind::malformed);
    it.started_at = milliseconds((1LL << 53) - 1);
    CHECK(error_kind_of(check_heartbeat(it, {1, 2}, wall_time)) ==
          error_kind::malformed);
}

TEST_CASE("the same server id with a new start time is a new incarnation")
{
    local_server it("orders", interval);
    it.on_heartbeat(seconds(100), make_heartbeat("a", 10, 50));
    CHECK(it.predates_agent());
    SUBCASE("its process was seen to end")
    {
        CHECK(it.on_not_found(seconds(101), seconds(101)));
        CHECK(it.on_heartbeat(seconds(101), make_heartbeat("a", 30, 1)) ==
              heartbeat_outcome::replaced);
    }
    SUBCASE("it goes on while the former one is silent")
    {
        CHECK(it.on_heartbeat(seconds(101), make_heartbeat("a", 30, 1)) ==
              heartbeat_outcome::unconfirmed);
        CHECK(it.on_heartbeat(seconds(102), make_heartbeat("a", 30, 2)) ==
              heartbeat_outcome::replaced);
    }
    CHECK_FALSE(it.predates_agent());
    CHECK(it.incarnation_started() == seconds(30));
}

TEST_CASE("a silent or departed server accepts no flows")
{
    local_server it("orders", interval);
    CHECK_FALSE(it.accepts_new_flows(seconds(100)));
    it.on_heartbeat(seconds(100), make_heartbeat("a", 10, 1));
    CHECK(it.accepts_new_flows(seconds(101)));
    CHECK_FALSE(it.accepts_new_flows(seconds(104)));
    it.on_packet(seconds(104));
    CHECK(it.accepts_new_flows(seconds(105)));
    CHECK(it.on_leave(seconds(105), "other") == leave_outcome::unknown);
    CHECK(it.accepts_new_flows(seconds(105)));
    // A server drains before it leaves.
    CHECK(it.on_leave(seconds(105), "a") == leave_outcome::doubted);
    CHECK(it.accepts_new_flows(seconds(105)));
    CHECK(it.is_in_doubt(seconds(105), seconds(90)));
    auto draining = make_heartbeat("a", 10, 2);
    draining.draining = true;
    it.on_heartbeat(seconds(105), draining);
    CHECK_FALSE(it.accepts_new_flows(seconds(105)));
    CHECK(it.on_leave(seconds(105), "a") == leave_outcome::left);
    CHECK_FALSE(it.accepts_new_flows(seconds(105)));
    CHECK(it.is_in_doubt(seconds(105), seconds(90)));
}
