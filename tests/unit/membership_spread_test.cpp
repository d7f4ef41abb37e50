#include "tests/fakes/membership_fleet.hpp"

#include <algorithm>
#include <doctest/doctest.h>

using namespace briardrum;
using namespace briardrum::tests;

namespace
{

constexpr network_faults faulty_network = {0.05, 0.05, milliseconds(1),
                                           milliseconds(40)};

auto start_agents(membership_fleet& fleet, std::uint32_t n) -> void
{
    const std::vector<std::string> data_centres = {"trapani", "marsala",
                                                   "paceco"};
    for (std::uint32_t i = 0; i < n; ++i)
    {
        fleet.start(make_agent(i + 1, i % 2 == 0 ? "manifest" : "docs",
                               data_centres[i % data_centres.size()]));
    }
}

} // namespace

TEST_CASE("members of three data centres discover each other")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        CAPTURE(seed);
        membership_fleet fleet(seed, faulty_network);
        start_agents(fleet, 20);
        CHECK(fleet.run_until(
            [&]
            {
                return fleet.converged();
            },
            seconds(20)));
        CHECK(fleet.view(3).agents_of("manifest").size() == 10);
        const auto ids = fleet.view(3).agents_of("docs");
        CHECK(std::is_sorted(ids.begin(), ids.end()));
    }
}

// Guards against: after a loss of power every member knows the others only
// several rounds of gossip later, and the proofs of lost flows wait for that.
TEST_CASE("members that have each other's addresses know each other after a "
          "round trip")
{
    membership_fleet fleet(1, {0, 0, milliseconds(4), {}});
    start_agents(fleet, 60);
    std::vector<endpoint> addresses;
    for (std::size_t i = 0; i < fleet.size(); ++i)
    {
        addresses.push_back(fleet.view(i).self().control_address);
    }
    for (std::size_t i = 0; i < fleet.size(); ++i)
    {
        fleet.view(i).add_start_addresses(addresses);
    }
    fleet.run(milliseconds(20));
    for (std::size_t i = 0; i < fleet.size(); ++i)
    {
        CHECK(fleet.view(i).live().size() == fleet.size());
    }
}

TEST_CASE("a change reaches every member within two seconds")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        CAPTURE(seed);
        membership_fleet fleet(seed, faulty_network);
        start_agents(fleet, 24);
        fleet.run(seconds(15));
        const auto id = fleet.view(5).self().id;
        fleet.view(5).set_state(fleet.now(), member_state::draining);
        CHECK(fleet.run_until(
            [&]
            {
                return fleet.all_see(id, member_state::draining);
            },
            seconds(2)));
    }
}

TEST_CASE("a lossy network causes no member to be declared dead")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        CAPTURE(seed);
        membership_fleet fleet(seed, faulty_network);
        start_agents(fleet, 24);
        fleet.run(minutes(2));
        CHECK(fleet.declared_dead.empty());
    }
}

TEST_CASE("indices follow changes of a member's record")
{
    auto record = make_agent(1, "orders");
    member_table members(make_balancer(1));
    members.merge(record);
    const auto first_epoch = members.epoch();
    record.version = 2;
    members.merge(record);
    CHECK(members.epoch() == first_epoch);
    record.version = 3;
    record.service_name = "surveys";
    members.merge(record);
    CHECK(members.epoch() > first_epoch);
    CHECK(members.agents_of("orders").empty());
    CHECK(members.agents_of("surveys").size() == 1);
    record.state = member_state::dead;
    members.merge(record);
    CHECK(members.agents_of("surveys").empty());
    CHECK(members.find(record.id)->state == member_state::dead);
}

TEST_CASE("an older update changes nothing")
{
    auto record = make_agent(1, "orders");
    record.version = 7;
    record.incarnation = 4;
    member_table members(make_balancer(1));
    members.merge(record);
    auto old = record;
    old.version = 6;
    old.state = member_state::draining;
    CHECK(members.merge(old).outcome == merge_outcome::stale);
    old.version = 9;
    old.incarnation = 3;
    CHECK(members.merge(old).outcome == merge_outcome::stale);
    CHECK(*members.find(record.id) == record);
    CHECK(members.merge(record).outcome == merge_outcome::duplicate);
}

TEST_CASE("an update that an unknown member is dead is not stored")
{
    auto record = make_agent(1, "orders");
    record.state = member_state::dead;
    member_table members(make_balancer(1));
    CHECK(members.merge(record).outcome == merge_outcome::unknown_not_live);
    CHECK(members.find(record.id) == nullptr);
}

TEST_CASE("messages per member do not grow with the fleet size")
{
    constexpr std::uint32_t quiet_seconds = 60;
    std::vector<double> per_member;
    for (const std::uint32_t n : {10U, 100U})
    {
        membership_fleet fleet(1, {});
        start_agents(fleet, n);
        fleet.run(seconds(40));
        REQUIRE(fleet.converged());
        fleet.reset_counts();
        fleet.run(seconds(quiet_seconds));
        per_member.push_back(static_cast<double>(fleet.messages()) / n /
                             quiet_seconds);
    }
    // A probe and its answer per interval, plus anti-entropy.
    CHECK(per_member[0] < 5);
    CHECK(per_member[1] < 5);
}
