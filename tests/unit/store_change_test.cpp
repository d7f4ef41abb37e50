#include "node/store/change_committer.hpp"
#include "node/store/configuration_load.hpp"
#include "stand_ins/store/virtual_store.hpp"

#include <doctest/doctest.h>

using namespace briardrum;
using briardrum::stand_in::virtual_store;

namespace
{

constexpr auto tick_interval = milliseconds(50);

// A store on virtual time, shared by the commands of several operators.
struct operator_fixture
{
    stand_in::memory_store data;
    millis now = seconds(1);

    auto stored() -> loaded_configuration
    {
        virtual_store client(data);
        loaded_configuration out;
        load_configuration(client, {},
                           [&](const auto& loaded)
                           {
                               REQUIRE(loaded.ok());
                               out = *loaded;
                           });
        client.run(now);
        for (int n = 0; n < 20; ++n)
        {
            now += milliseconds(5);
            client.run(now);
        }
        return out;
    }
};

// An operator command that makes one change.
struct command
{
    operator_fixture& fixture;
    virtual_store client;
    change_committer committer;
    edited_configuration edited;

    command(operator_fixture& shared, const configuration_edit& edit,
            const std::string& name, const loaded_configuration& base)
        : fixture(shared), client(shared.data), committer(client, {}, {})
    {
        const auto before =
            base.value == nullptr ? initial_configuration({}) : *base.value;
        const auto version = before.version + 1;
        const auto id = make_change_id(version, member_id_of(name));
        auto result = apply_edit(before, edit, {id, name, fixture.now});
        REQUIRE_MESSAGE(result.ok(), result.status().message());
        edited = *std::move(result);
        entry = {version,          id,          name, fixture.now,
                 summary_of(edit), {"~ a line"}};
        root = base.root;
    }

    auto begin() -> void
    {
        committer.begin(fixture.now, edited, root, entry);
    }

    auto run(millis span) -> void
    {
        const auto end = fixture.now + span;
        while (fixture.now < end)
        {
            fixture.now += tick_interval;
            client.run(fixture.now);
            committer.tick(fixture.now);
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
    std::optional<std::string> root;
};

auto create(const std::string& name, std::uint32_t n) -> configuration_edit
{
    return create_service{name, {endpoint{0x0a000000 + n, 5683}, {}}};
}

auto look_up(operator_fixture& fixture, const std::string& change_id)
    -> change_status
{
    virtual_store client(fixture.data);
    change_status out;
    look_up_change(client, {}, change_id,
                   [&](const auto& result)
                   {
                       REQUIRE(result.ok());
                       out = *result;
                   });
    for (int n = 0; n < 20; ++n)
    {
        fixture.now += milliseconds(5);
        client.run(fixture.now);
    }
    return out;
}

} // namespace

TEST_CASE("a change is written as one transaction with its history entry")
{
    operator_fixture fixture;
    command first(fixture, create("orders", 1), "anna", {});
    first.begin();
    CHECK(first.outcome() == commit_outcome::accepted);
    const auto stored = fixture.stored();
    REQUIRE(stored.value != nullptr);
    CHECK(*stored.value == first.edited.after);
    CHECK(look_up(fixture, first.entry.change_id).state ==
          change_state::accepted);
    CHECK(look_up(fixture, first.entry.change_id).entry->changed_by == "anna");
}

TEST_CASE("a refused change reports the concurrent change that was committed")
{
    operator_fixture fixture;
    command setup(fixture, create("orders", 1), "anna", {});
    setup.begin();
    REQUIRE(setup.outcome() == commit_outcome::accepted);
    const auto base = fixture.stored();
    command one(fixture, create("docs", 2), "boris", base);
    command two(fixture, create("surveys", 3), "clara", base);
    one.begin();
    two.begin();
    CHECK(two.outcome() == commit_outcome::accepted);
    CHECK(one.outcome() == commit_outcome::refused);
    REQUIRE(one.committer.report()->winner.has_value());
    CHECK(one.committer.report()->winner->changed_by == "clara");
    CHECK(fixture.stored().value->services.contains("surveys"));
    CHECK_FALSE(fixture.stored().value->services.contains("docs"));
    CHECK(look_up(fixture, one.entry.change_id).state == change_state::refused);
}

TEST_CASE("a change whose answer is lost is looked up and written once")
{
    operator_fixture fixture;
    command first(fixture, create("orders", 1), "anna", {});
    first.client.lose_answers = 1;
    first.begin();
    CHECK(first.outcome() == commit_outcome::accepted);
    const auto revision = fixture.data.revision();
    first.run(seconds(30));
    CHECK(fixture.data.revision() == revision);
    CHECK(fixture.stored().value->version == 1);
}

TEST_CASE("a write that never reached the store is sent again")
{
    operator_fixture fixture;
    command first(fixture, create("orders", 1), "anna", {});
    first.client.lose_commits = 2;
    first.begin();
    CHECK(first.outcome() == commit_outcome::accepted);
    CHECK(fixture.stored().value->version == 1);
}

TEST_CASE("a lost answer is told apart from a concurrent change")
{
    operator_fixture fixture;
    command setup(fixture, create("orders", 1), "anna", {});
    setup.begin();
    REQUIRE(setup.outcome() == commit_outcome::accepted);
    const auto base = fixture.stored();
    command one(fixture, create("docs", 2), "boris", base);
    command two(fixture, create("surveys", 3), "clara", base);
    // Boris's change takes effect but its answer is lost, so Clara's is
    // refused.
    one.client.lose_answers = 1;
    one.begin();
    two.begin();
    CHECK(two.outcome() == commit_outcome::refused);
    command three(fixture, create("surveys", 3), "clara", fixture.stored());
    three.begin();
    REQUIRE(three.outcome() == commit_outcome::accepted);
    // His history slot still shows his change, although hers is newer.
    CHECK(one.outcome() == commit_outcome::accepted);
}

TEST_CASE("a change is reported as unavailable when the store is down")
{
    operator_fixture fixture;
    command first(fixture, create("orders", 1), "anna", {});
    first.client.down = true;
    first.begin();
    const auto begun = fixture.now;
    CHECK(first.outcome() == commit_outcome::unavailable);
    CHECK((fixture.now - begun) <= seconds(16));
    CHECK(fixture.data.revision() == 1);
}

TEST_CASE("a change is reported as unknown when the store is too slow")
{
    operator_fixture fixture;
    command first(fixture, create("orders", 1), "anna", {});
    first.client.delay = seconds(20);
    first.begin();
    const auto begun = fixture.now;
    CHECK(first.outcome() == commit_outcome::unknown);
    CHECK((fixture.now - begun) <= seconds(16));
    CHECK(look_up(fixture, first.entry.change_id).state ==
          change_state::pending);
    // The write in flight takes effect later, once.
    first.run(seconds(60));
    CHECK(look_up(fixture, first.entry.change_id).state ==
          change_state::accepted);
    CHECK(fixture.stored().value->version == 1);
}

TEST_CASE("a delayed write is refused after another change was committed")
{
    operator_fixture fixture;
    command late(fixture, create("orders", 1), "anna", {});
    late.client.delay = seconds(20);
    late.begin();
    REQUIRE(late.outcome() == commit_outcome::unknown);
    command other(fixture, create("docs", 2), "boris", {});
    other.begin();
    REQUIRE(other.outcome() == commit_outcome::accepted);
    late.run(seconds(60));
    CHECK(look_up(fixture, late.entry.change_id).state ==
          change_state::refused);
    CHECK(fixture.stored().value->services.size() == 1);
}

TEST_CASE("change ids and history entries are written and parsed")
{
    CHECK(version_of_change_id(make_change_id(1842, 99)) == 1842);
    for (const auto* text : {"", "12", "-3", "abc-1", "x1-2"})
    {
        CAPTURE(text);
        CHECK(version_of_change_id(text) == 0);
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

// Guards against: an operator's change, made on a configuration that a restore
// took away, overwrites the one that another operator made since.
TEST_CASE("a store restored from an older copy: a change made on what is gone "
          "is refused")
{
    operator_fixture fixture;
    command first(fixture, create("one", 1), "anna", fixture.stored());
    first.begin();
    REQUIRE(first.outcome() == commit_outcome::accepted);
    const auto copy = fixture.data;
    command lost(fixture, create("two", 2), "anna", fixture.stored());
    lost.begin();
    REQUIRE(lost.outcome() == commit_outcome::accepted);
    command late(fixture, create("three", 3), "anna", fixture.stored());
    const auto revision = fixture.data.revision();

    fixture.data.restore(copy);
    command other(fixture, create("four", 4), "boris", fixture.stored());
    other.begin();
    REQUIRE(other.outcome() == commit_outcome::accepted);
    REQUIRE(fixture.data.revision() == revision);
    late.begin();
    CHECK(late.outcome() != commit_outcome::accepted);
    const auto stored = fixture.stored();
    REQUIRE(stored.value != nullptr);
    CHECK(*stored.value == other.edited.after);
}
