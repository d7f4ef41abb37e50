#include "bench/rig/packets/packet_fleet.hpp"

#include <doctest/doctest.h>

using namespace briardrum;
using namespace briardrum::rig;

namespace
{

// The smaller deployment: two services, with lookups, and orders that must run
// at most once.
auto small_fleet(std::uint64_t seed, double load) -> packet_fleet_settings
{
    packet_fleet_settings out;
    out.seed = seed;
    out.balancers = 5;
    out.services = {{"orders", 7, 5}, {"surveys", 3, 5}};
    packet_load lookup;
    lookup.name = "lookup";
    lookup.route = {0xc6120001, 443};
    lookup.service_name = "orders";
    lookup.urgency = 2;
    lookup.per_second = load * 640;
    packet_load order = lookup;
    order.name = "order";
    order.route = {0xc6120001, 8080};
    order.urgency = 1;
    order.per_second = load * 160;
    order.work = milliseconds(52);
    order.repeatable = false;
    packet_load photo = lookup;
    photo.name = "photo";
    photo.route = {0xc6120002, 443};
    photo.service_name = "surveys";
    photo.per_second = load * 100;
    out.loads = {lookup, order, photo};
    return out;
}

auto check_invariants(packet_fleet& fleet) -> void
{
    CHECK(fleet.caller().tally("order").doubled == 0);
    CHECK(fleet.misrouted() == 0);
    CHECK(fleet.broken_flows() == 0);
}

// Counts from the fourth second, once the servers have warmed up.
auto run_warm(packet_fleet& fleet, millis end) -> void
{
    fleet.run_until(seconds(3));
    fleet.start_load();
    fleet.run_until(seconds(4));
    fleet.caller().clear_tallies();
    fleet.run_until(end);
}

} // namespace

TEST_CASE(
    "bounded-load rendezvous: flows are served in time at 90 percent load")
{
    packet_fleet fleet(small_fleet(1, 0.9));
    run_warm(fleet, seconds(15));
    check_invariants(fleet);
    CHECK(fleet.caller().tally("lookup").in_aim_share() > 0.99);
    CHECK(fleet.imbalance("orders") < 1.10);
}

TEST_CASE("persistent overload: flows within capacity are served in time")
{
    packet_fleet fleet(small_fleet(2, 1.2));
    run_warm(fleet, seconds(15));
    check_invariants(fleet);
    // At 1.2 times the capacity of the servers, five sixths of the load can be
    // served.
    CHECK(fleet.caller().tally("lookup").served_share() > 0.75);
    CHECK(fleet.caller().tally("order").in_aim_share() > 0.95);
}

TEST_CASE("a slow server receives fewer flows and callers soon recover")
{
    packet_fleet fleet(small_fleet(3, 0.7));
    fleet.run_until(seconds(1));
    fleet.start_load();
    fleet.run_until(seconds(3));
    fleet.slow_server(0, 4);
    fleet.caller().clear_tallies();
    fleet.run_until(seconds(15));
    check_invariants(fleet);
    // The slots of the slow server still answer late: 5 of 35, four times
    // slower, give less than 4 percent of the answers.
    CHECK(fleet.caller().tally("lookup").in_aim_share() > 0.95);
}

TEST_CASE("planned restarts of balancers and servers break no flow")
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed)
    {
        CAPTURE(seed);
        auto settings = small_fleet(seed, 0.6);
        settings.loss = 0.001;
        packet_fleet fleet(settings);
        fleet.run_until(seconds(1));
        fleet.start_load();
        auto now = seconds(2);
        for (std::size_t n = 0; n < 4; ++n)
        {
            fleet.run_until(now);
            fleet.stop_balancer(n);
            fleet.drain_server(n);
            fleet.run_until(now + seconds(2));
            fleet.start_balancer(n);
            fleet.run_until(now + seconds(4));
            fleet.lose_server(n);
            fleet.run_until(now + seconds(5));
            fleet.start_server(n);
            now += seconds(6);
        }
        fleet.run_until(now + seconds(2));
        check_invariants(fleet);
        CHECK(fleet.caller().tally("lookup").served_share() > 0.99);
    }
}

// Guards against: under load, an evacuation or its end breaks open flows, or
// servers of the data centre get new flows, also from queues, from balancers
// with an older view and from agents that have restarted.
TEST_CASE("evacuation under load: no new flow opens there and none breaks")
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed)
    {
        CAPTURE(seed);
        auto settings = small_fleet(seed, 0.5);
        settings.loss = 0.001;
        settings.agent.needs_policy = true;
        packet_fleet fleet(settings);
        fleet.evacuate({});
        fleet.run_until(seconds(3));
        fleet.start_load();
        fleet.run_until(seconds(5));
        fleet.caller().clear_tallies();
        for (auto now = seconds(5); now < seconds(20); now += seconds(5))
        {
            fleet.evacuate({"dc-1"});
            fleet.run_until(now + seconds(1));
            const auto opened = fleet.opened_in("dc-1");
            REQUIRE(opened > 0);
            fleet.restart_agent(1);
            fleet.stop_balancer(0);
            fleet.run_until(now + seconds(2));
            fleet.start_balancer(0);
            fleet.run_until(now + seconds(3));
            CHECK(fleet.opened_in("dc-1") == opened);
            fleet.evacuate({});
            fleet.run_until(now + seconds(5));
            CHECK(fleet.opened_in("dc-1") > opened);
        }
        check_invariants(fleet);
        CHECK(fleet.caller().tally("lookup").served_share() > 0.99);
    }
}

TEST_CASE("random faults misroute no packet and reset no open flow")
{
    for (std::uint64_t seed = 1; seed <= 8; ++seed)
    {
        CAPTURE(seed);
        auto settings = small_fleet(seed, 0.7);
        settings.loss = 0.005;
        settings.view_lag_max = milliseconds(800);
        packet_fleet fleet(settings);
        random_source random(seed * 31);
        fleet.run_until(seconds(1));
        fleet.start_load();
        std::vector<millis> back(fleet.server_count());
        for (auto now = seconds(2); now < seconds(20); now += milliseconds(700))
        {
            fleet.run_until(now);
            const auto index = random.below(fleet.server_count());
            const auto balancer = random.below(5);
            switch (random.below(4))
            {
            case 0:
                fleet.restart_agent(index);
                break;
            case 1:
                fleet.lose_server(index);
                fleet.run_until(now + milliseconds(300));
                fleet.start_server(index);
                break;
            case 2:
                fleet.drain_server(index);
                break;
            default:
                fleet.stop_balancer(balancer);
                fleet.run_until(now + milliseconds(400));
                fleet.start_balancer(balancer);
                break;
            }
        }
        fleet.lose_everything(seconds(1));
        fleet.run_until(seconds(30));
        check_invariants(fleet);
        // All drained servers have been restarted by the power loss.
        fleet.caller().clear_tallies();
        fleet.run_until(seconds(35));
        CHECK(fleet.caller().tally("lookup").served_share() > 0.95);
    }
}
