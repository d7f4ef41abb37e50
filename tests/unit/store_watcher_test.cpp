#include "node/store/store_watcher.hpp"
#include "stand_ins/store/virtual_store.hpp"

#include <doctest/doctest.h>

using namespace briardrum;
using briardrum::stand_in::virtual_store;

namespace
{

constexpr auto tick_interval = milliseconds(50);
constexpr auto convergence_time_max = seconds(5);

// A store watcher, and a store that the test changes.
struct store_watcher_fixture
{
    stand_in::memory_store data;
    virtual_store client{data};
    std::shared_ptr<const configuration> held;
    std::uint64_t adopted = 0;
    store_watcher watcher;
    millis now = seconds(1);
    bool is_watcher = true;

    store_watcher_fixture()
        : watcher(client, {}, {},
                  {[this]
                   {
                       return held;
                   },
                   [this](millis, const auto& next)
                   {
                       adopt(next);
                   },
                   {}},
                  7)
    {
    }

    auto adopt(const std::shared_ptr<const configuration>& next) -> void
    {
        if (held == nullptr || next->version > held->version)
        {
            held = next;
            ++adopted;
        }
    }

    // Writes the next version directly to the store.
    auto change() -> void
    {
        const endpoint address{
            static_cast<std::uint32_t>(0x0a000001 + stored.version), 5683};
        change("s" + std::to_string(stored.version), address);
    }

    auto change(const std::string& name, const endpoint& address) -> void
    {
        const auto is_first = stored.version == 0;
        const auto edited = apply_edit(
            is_first ? initial_configuration({}) : stored,
            create_service{name, {address, {}}}, {"1-a", "test", now});
        REQUIRE(edited.ok());
        store_transaction writes;
        for (const auto& item : edited->changes)
        {
            writes.writes.push_back(
                {store_layout{}.key_of(item.key), item.value, item.removed, 0});
        }
        data.commit(writes);
        stored = edited->after;
    }

    auto run(millis span) -> void
    {
        const auto end = now + span;
        while (now < end)
        {
            now += tick_interval;
            client.run(now);
            watcher.tick(now, is_watcher);
        }
    }

    auto is_current() const -> bool
    {
        return held != nullptr && *held == stored;
    }

    configuration stored;
};

} // namespace

TEST_CASE("a watcher receives every change")
{
    store_watcher_fixture fixture;
    fixture.run(seconds(1));
    CHECK(fixture.held == nullptr);
    for (int n = 0; n < 5; ++n)
    {
        fixture.change();
        fixture.run(milliseconds(200));
        CHECK(fixture.is_current());
    }
    CHECK(fixture.adopted == 5);
}

TEST_CASE("a watcher with the current version reads only the root value")
{
    store_watcher_fixture fixture;
    fixture.change();
    fixture.held = std::make_shared<const configuration>(fixture.stored);
    fixture.run(seconds(2));
    CHECK(fixture.client.ranges == 1);
    fixture.change();
    fixture.run(seconds(1));
    CHECK(fixture.is_current());
}

TEST_CASE("a watch that went silent is reopened within the bound")
{
    store_watcher_fixture fixture;
    fixture.change();
    fixture.run(seconds(2));
    REQUIRE(fixture.is_current());
    fixture.client.silent_watches = true;
    fixture.change();
    fixture.run(tick_interval);
    // New watches work; the old one stays silent.
    fixture.client.silent_watches = false;
    CHECK_FALSE(fixture.is_current());
    fixture.run(convergence_time_max);
    CHECK(fixture.is_current());
    CHECK(fixture.watcher.silent_watches() == 1);
}

TEST_CASE("changes are received even if every watch is silent")
{
    store_watcher_fixture fixture;
    fixture.change();
    fixture.run(seconds(2));
    fixture.client.silent_watches = true;
    for (int n = 0; n < 5; ++n)
    {
        fixture.change();
        fixture.run(convergence_time_max);
        CHECK(fixture.is_current());
    }
}

TEST_CASE("late and repeated events result in the same configuration")
{
    store_watcher_fixture fixture;
    fixture.change();
    fixture.run(seconds(2));
    fixture.client.repeat_events = true;
    fixture.client.event_delay = milliseconds(400);
    for (int n = 0; n < 5; ++n)
    {
        fixture.change();
        fixture.run(milliseconds(150));
    }
    fixture.run(seconds(1));
    CHECK(fixture.is_current());
    CHECK(fixture.adopted == 6);
}

TEST_CASE("an outage of an hour keeps the configuration and costs few calls")
{
    store_watcher_fixture fixture;
    fixture.change();
    fixture.run(seconds(2));
    const auto before = fixture.client.calls;
    fixture.client.down = true;
    fixture.run(minutes(60));
    CHECK(fixture.is_current());
    CHECK_FALSE(fixture.watcher.store_answers());
    // About one call every three seconds.
    CHECK(fixture.client.calls - before < 2000);
    fixture.change();
    fixture.client.down = false;
    fixture.run(convergence_time_max);
    CHECK(fixture.is_current());
    CHECK(fixture.watcher.store_answers());
}

TEST_CASE("the configuration is reloaded when missed events were compacted")
{
    store_watcher_fixture fixture;
    fixture.change();
    fixture.run(seconds(2));
    fixture.client.down = true;
    fixture.run(seconds(10));
    fixture.change();
    fixture.change();
    fixture.data.compact();
    fixture.client.down = false;
    fixture.run(convergence_time_max);
    CHECK(fixture.is_current());
    fixture.change();
    fixture.run(seconds(1));
    CHECK(fixture.is_current());
}

TEST_CASE("a process that is not a watcher makes no calls")
{
    store_watcher_fixture fixture;
    fixture.change();
    fixture.run(seconds(2));
    fixture.is_watcher = false;
    fixture.run(seconds(1));
    const auto before = fixture.client.calls;
    fixture.run(minutes(10));
    CHECK(fixture.client.calls == before);
}

// Guards against: operators' changes that were accepted after a restore reach
// no daemon, since the watch waits for a revision of the former history.
TEST_CASE("a store restored from an older copy: a watcher receives the changes "
          "that follow")
{
    store_watcher_fixture fixture;
    fixture.change();
    const auto copy = fixture.data;
    const auto copied = fixture.stored;
    for (int n = 0; n < 10; ++n)
    {
        fixture.data.commit({{}, {{"other", "value", false, 0}}});
    }
    fixture.change();
    fixture.change();
    fixture.run(seconds(2));
    REQUIRE(fixture.is_current());
    const auto held_version = fixture.held->version;

    SUBCASE("while the store was away")
    {
        fixture.client.down = true;
        fixture.run(seconds(2));
        fixture.client.down = false;
    }
    SUBCASE("while the watch stayed open") {}
    fixture.data.restore(copy);
    fixture.stored = copied;
    fixture.run(convergence_time_max);
    // Nothing older is adopted.
    CHECK(fixture.held->version == held_version);
    while (fixture.stored.version <= held_version)
    {
        fixture.change();
    }
    fixture.run(convergence_time_max);
    CHECK(fixture.is_current());
}

// Guards against: a configuration that has the version of the held one, and
// other contents, is taken for it, and later changes are applied to the wrong
// one.
TEST_CASE("a store restored from an older copy: a configuration of the same "
          "version is loaded anew")
{
    store_watcher_fixture fixture;
    fixture.change();
    const auto copy = fixture.data;
    const auto copied = fixture.stored;
    fixture.change();
    fixture.run(seconds(2));
    REQUIRE(fixture.is_current());
    fixture.client.down = true;
    fixture.run(seconds(1));
    fixture.data.restore(copy);
    fixture.stored = copied;
    const endpoint other_address{0x0a00ff01, 5683};
    fixture.change("other", other_address);
    REQUIRE(fixture.stored.version == fixture.held->version);
    fixture.client.down = false;
    fixture.run(seconds(2));
    fixture.change();
    fixture.run(convergence_time_max);
    CHECK(fixture.is_current());
}
