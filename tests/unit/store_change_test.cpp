#include "node/store/change_committer.hpp"
#include "node/store/configuration_load.hpp"
#include "stand_ins/store/virtual_store.hpp"

#include <doctest/doctest.h>

using namespace briardrum;
using briardrum::stand_in::virtual_store;

namespace
{

constexpr auto tick_interval = milliseconds(50);

// Operators' commands that share one store, on virtual time.
struct operators
{
    stand_in::memory_store data;
    millis now = seconds(1);

    auto stored() -> loaded_configuration
    {
        virtual_store way(data);
        loaded_configuration out;
        load_configuration(way, {},
                           [&](const auto& loaded)
                           {
                               REQUIRE(loaded.ok());
                               out = *loaded;
                           });
        way.run(now);
        for (int n = 0; n < 20; ++n)
        {
            now += milliseconds(5);
            way.run(now);
        }
        return out;
    }
};

// One command that makes one change.
struct command
{
    operators& world;
    virtual_store way;
    change_committer committer;
    edited_configuration edited;

    command(operators& given, const configuration_edit& edit,
            const std::string& name, const loaded_configuration& base)
        : world(given), way(given.data), committer(way, {}, {})
    {
        const auto before =
            base.value == nullptr ? initial_configuration({}) : *base.value;
        const auto version = before.version + 1;
        const auto id = make_change_id(version, member_id_of(name));
        auto result = apply_edit(before, edit, {id, name, world.now});
        REQUIRE_MESSAGE(result.ok(), result.status().message());
        edited = *std::move(result);
        entry = {version, id, name, world.now, summary_of(edit), {"~ a line"}};
        root_revision = base.root_revision;
    }

    auto begin() -> void
    {
        committer.begin(world.now, edited, root_revision, entry);
    }

    auto run(millis span) -> void
    {
        const auto end = world.now + span;
        while (world.now < end)
        {
            world.now += tick_interval;
            way.run(world.now);
            committer.tick(world.now);
        }
    }

    // Runs until the outcome is reported.
    auto outcome() -> commit_outcome
    {
        while (!committer.report().has_value())
        {
            run(tick_interval);
        }
        return committer.report()->outcome;
    }

    history_entry entry;
    store_revision root_revision = 0;
};

auto create(const std::string& name, std::uint32_t n) -> configuration_edit
{
    return create_service{name, {endpoint{0x0a000000 + n, 5683}, {}}};
}

auto look_up(operators& world, const std::string& change_id) -> change_status
{
    virtual_store way(world.data);
    change_status out;
    look_up_change(way, {}, change_id,
                   [&](const auto& result)
                   {
                       REQUIRE(result.ok());
                       out = *result;
                   });
    for (int n = 0; n < 20; ++n)
    {
        world.now += milliseconds(5);
        way.run(world.now);
    }
    return out;
}

} // namespace

TEST_CASE("a change is written as one transaction with its history entry")
{
    operators world;
    command first(world, create("orders", 1), "anna", {});
    first.begin();
    CHECK(first.outcome() == commit_outcome::accepted);
    const auto stored = world.stored();
    REQUIRE(stored.value != nullptr);
    CHECK(*stored.value == first.edited.after);
    CHECK(look_up(world, first.entry.change_id).state ==
          change_state::accepted);
    CHECK(look_up(world, first.entry.change_id).entry->changed_by == "anna");
}

TEST_CASE("of two operators one wins, and the other is told who")
{
    operators world;
    command setup(world, create("orders", 1), "anna", {});
    setup.begin();
    REQUIRE(setup.outcome() == commit_outcome::accepted);
    const auto base = world.stored();
    command one(world, create("docs", 2), "boris", base);
    command two(world, create("surveys", 3), "clara", base);
    one.begin();
    two.begin();
    CHECK(two.outcome() == commit_outcome::accepted);
    CHECK(one.outcome() == commit_outcome::refused);
    REQUIRE(one.committer.report()->winner.has_value());
    CHECK(one.committer.report()->winner->changed_by == "clara");
    CHECK(world.stored().value->services.contains("surveys"));
    CHECK_FALSE(world.stored().value->services.contains("docs"));
    CHECK(look_up(world, one.entry.change_id).state == change_state::refused);
}

TEST_CASE("a lost answer is found out by reading back, and written once")
{
    operators world;
    command first(world, create("orders", 1), "anna", {});
    first.way.lose_answers = 1;
    first.begin();
    CHECK(first.outcome() == commit_outcome::accepted);
    const auto revision = world.data.revision();
    first.run(seconds(30));
    CHECK(world.data.revision() == revision);
    CHECK(world.stored().value->version == 1);
}

TEST_CASE("a write that was lost on the way is sent again")
{
    operators world;
    command first(world, create("orders", 1), "anna", {});
    first.way.lose_commits = 2;
    first.begin();
    CHECK(first.outcome() == commit_outcome::accepted);
    CHECK(world.stored().value->version == 1);
}

TEST_CASE("a lost answer and a lost race together are told apart")
{
    operators world;
    command setup(world, create("orders", 1), "anna", {});
    setup.begin();
    REQUIRE(setup.outcome() == commit_outcome::accepted);
    const auto base = world.stored();
    command one(world, create("docs", 2), "boris", base);
    command two(world, create("surveys", 3), "clara", base);
    // Boris's change takes effect unseen, Clara's follows on it or not.
    one.way.lose_answers = 1;
    one.begin();
    two.begin();
    CHECK(two.outcome() == commit_outcome::refused);
    command three(world, create("surveys", 3), "clara", world.stored());
    three.begin();
    REQUIRE(three.outcome() == commit_outcome::accepted);
    // His slot still tells him, though the newest change is hers.
    CHECK(one.outcome() == commit_outcome::accepted);
}

TEST_CASE("a store that is down is told as nothing written")
{
    operators world;
    command first(world, create("orders", 1), "anna", {});
    first.way.down = true;
    first.begin();
    const auto begun = world.now;
    CHECK(first.outcome() == commit_outcome::unavailable);
    CHECK((world.now - begun) <= seconds(16));
    CHECK(world.data.revision() == 1);
}

TEST_CASE("a store too slow to answer leaves the change not known yet")
{
    operators world;
    command first(world, create("orders", 1), "anna", {});
    first.way.delay = seconds(20);
    first.begin();
    const auto begun = world.now;
    CHECK(first.outcome() == commit_outcome::unknown);
    CHECK((world.now - begun) <= seconds(16));
    CHECK(look_up(world, first.entry.change_id).state == change_state::pending);
    // The write that was on its way lands later, once.
    first.run(seconds(60));
    CHECK(look_up(world, first.entry.change_id).state ==
          change_state::accepted);
    CHECK(world.stored().value->version == 1);
}

TEST_CASE("a late write loses against a change that was made meanwhile")
{
    operators world;
    command late(world, create("orders", 1), "anna", {});
    late.way.delay = seconds(20);
    late.begin();
    REQUIRE(late.outcome() == commit_outcome::unknown);
    command other(world, create("docs", 2), "boris", {});
    other.begin();
    REQUIRE(other.outcome() == commit_outcome::accepted);
    late.run(seconds(60));
    CHECK(look_up(world, late.entry.change_id).state == change_state::refused);
    CHECK(world.stored().value->services.size() == 1);
}

TEST_CASE("a change id tells the version that it would have made")
{
    CHECK(version_of_change(make_change_id(1842, 99)) == 1842);
    for (const auto* text : {"", "12", "-3", "abc-1", "x1-2"})
    {
        CAPTURE(text);
        CHECK(version_of_change(text) == 0);
    }
    const history_entry entry{7,
                              "7-a",
                              "anna",
                              seconds(3),
                              "use preset peak",
                              {"~ in_force ordinary -> peak"}};
    const auto again = read_history_entry(write_history_entry(entry));
    REQUIRE(again.has_value());
    CHECK(again->summary == entry.summary);
    CHECK(again->difference == entry.difference);
    CHECK_FALSE(read_history_entry("{}").has_value());
}
