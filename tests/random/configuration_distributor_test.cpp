#include "node/distribution/watcher_choice.hpp"
#include "tests/random/distributor_fleet.hpp"

#include <algorithm>
#include <doctest/doctest.h>

using namespace briardrum;
using briardrum::tests::distributor_fleet;

namespace
{

constexpr auto convergence_time_max = seconds(5);

const std::vector<std::string> data_centres = {"trapani", "marsala", "paceco"};

auto join_many(distributor_fleet& fleet, std::size_t count) -> void
{
    for (std::size_t n = 0; n < count; ++n)
    {
        fleet.join(data_centres.at(n % data_centres.size()));
    }
}

auto find_watcher(distributor_fleet& fleet, const std::string& data_centre)
    -> distributor_fleet::daemon&
{
    auto& all = fleet.daemons();
    const auto it =
        std::find_if(all.begin(), all.end(),
                     [&](const auto& item)
                     {
                         return item.distributor->is_watcher() &&
                                item.record.data_centre == data_centre;
                     });
    REQUIRE(it != all.end());
    return *it;
}

} // namespace

TEST_CASE("every daemon adopts changes in time, in increasing versions")
{
    for (std::uint64_t seed = 1; seed <= 25; ++seed)
    {
        CAPTURE(seed);
        random_source random(seed);
        distributor_fleet fleet(seed, {0.2, 0.2, milliseconds(200)});
        join_many(fleet, 40);
        fleet.run(seconds(6));
        find_watcher(fleet, "trapani").paused = true;
        for (int n = 0; n < 20; ++n)
        {
            fleet.change();
            if (random.chance(0.5))
            {
                fleet.join(data_centres.at(random.below(3)));
            }
            fleet.run(milliseconds(
                static_cast<std::int64_t>(50 + 50 * random.below(80))));
            CHECK(fleet.all_converged_within(convergence_time_max));
        }
        for (auto& item : fleet.daemons())
        {
            item.paused = false;
        }
        fleet.run(convergence_time_max);
        for (const auto& item : fleet.daemons())
        {
            CHECK(*item.distributor->newest() == fleet.stored());
        }
    }
}

TEST_CASE("a data centre without access to the store receives changes")
{
    for (std::uint64_t seed = 1; seed <= 25; ++seed)
    {
        CAPTURE(seed);
        distributor_fleet fleet(seed, {0.05, 0.05, milliseconds(20)});
        join_many(fleet, 30);
        for (auto& item : fleet.daemons())
        {
            item.store_reachable = item.record.data_centre != "paceco";
        }
        fleet.run(seconds(10));
        fleet.change();
        fleet.run(convergence_time_max);
        CHECK(fleet.all_converged_within(convergence_time_max));
    }
}

TEST_CASE("a new daemon gets the configuration from peers in a store outage")
{
    distributor_fleet fleet(7, {0.1, 0.1, milliseconds(50)});
    join_many(fleet, 20);
    fleet.run(seconds(6));
    fleet.set_store_up(false);
    fleet.run(minutes(60));
    auto& newcomer = fleet.join("marsala");
    CHECK(newcomer.distributor->newest() == nullptr);
    fleet.run(convergence_time_max);
    REQUIRE(newcomer.distributor->newest() != nullptr);
    CHECK(*newcomer.distributor->newest() == fleet.stored());
}

TEST_CASE("an idle fleet sends no configuration changes")
{
    distributor_fleet fleet(3, {});
    join_many(fleet, 30);
    fleet.run(seconds(10));
    const auto before = fleet.bytes_sent();
    fleet.run(seconds(60));
    CHECK(fleet.bytes_sent() == before);
}

TEST_CASE("each data centre has two watchers and replaces a suspect one")
{
    distributor_fleet fleet(3, {});
    join_many(fleet, 30);
    fleet.run(seconds(1));
    std::vector<member_record> records;
    for (const auto& item : fleet.daemons())
    {
        records.push_back(item.record);
    }
    const auto chosen = choose_watchers("marsala", records);
    REQUIRE(chosen.size() == watchers_per_data_centre);
    const auto watching =
        std::count_if(fleet.daemons().begin(), fleet.daemons().end(),
                      [](const auto& item)
                      {
                          return item.distributor->is_watcher();
                      });
    CHECK(watching == 6);
    for (auto& record : records)
    {
        if (record.id == chosen.front())
        {
            record.state = member_state::suspect;
        }
    }
    const auto next = choose_watchers("marsala", records);
    REQUIRE(next.size() == watchers_per_data_centre);
    CHECK(next.front() == chosen.back());
}
