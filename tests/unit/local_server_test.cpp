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

TEST_CASE("a late heartbeat of the same incarnation changes nothing")
{
    local_server it("orders", interval);
    auto leaving = make_heartbeat("a", 10, 5);
    leaving.draining = true;
    it.on_heartbeat(seconds(100), leaving);
    const auto late = make_heartbeat("a", 10, 4);
    CHECK(it.on_heartbeat(seconds(101), late) == heartbeat_outcome::late);
    CHECK(it.is_draining());
}

TEST_CASE("an older incarnation's heartbeat is outdated while the newer speaks")
{
    local_server it("orders", interval);
    it.on_heartbeat(seconds(100), make_heartbeat("b", 20, 1));
    const auto old = make_heartbeat("a", 10, 99);
    CHECK(it.on_heartbeat(seconds(101), old) == heartbeat_outcome::outdated);
    CHECK(it.incarnation_started() == seconds(20));
}

TEST_CASE("a server whose clock stepped back is taken once the other is silent")
{
    local_server it("orders", interval);
    it.on_heartbeat(seconds(100), make_heartbeat("b", 20, 7));
    const auto next = make_heartbeat("c", 18, 1);
    CHECK(it.on_heartbeat(seconds(102), next) == heartbeat_outcome::outdated);
    CHECK(it.on_heartbeat(seconds(104), next) == heartbeat_outcome::replaced);
    CHECK_FALSE(it.predates_agent());
}

TEST_CASE("a server under its old id with a new start is another incarnation")
{
    local_server it("orders", interval);
    it.on_heartbeat(seconds(100), make_heartbeat("a", 10, 50));
    CHECK(it.predates_agent());
    const auto again = make_heartbeat("a", 30, 1);
    CHECK(it.on_heartbeat(seconds(101), again) == heartbeat_outcome::replaced);
    CHECK_FALSE(it.predates_agent());
}

TEST_CASE("a silent server takes no flows, a draining or departed one neither")
{
    local_server it("orders", interval);
    CHECK_FALSE(it.accepts_new_flows(seconds(100)));
    it.on_heartbeat(seconds(100), make_heartbeat("a", 10, 1));
    CHECK(it.accepts_new_flows(seconds(101)));
    CHECK_FALSE(it.accepts_new_flows(seconds(104)));
    it.on_packet(seconds(104));
    CHECK(it.accepts_new_flows(seconds(105)));
    CHECK_FALSE(it.on_leave(seconds(105), "other"));
    CHECK(it.accepts_new_flows(seconds(105)));
    CHECK(it.on_leave(seconds(105), "a"));
    CHECK_FALSE(it.accepts_new_flows(seconds(105)));
}
