#include "node/store/store_watcher.hpp"
#include "stand_ins/store/virtual_store.hpp"

#include <doctest/doctest.h>

using namespace briardrum;
using briardrum::stand_in::virtual_store;

namespace
{

constexpr auto tick_interval = milliseconds(50);
constexpr auto in_force_max = seconds(5);

// One watcher, and operators that change what it watches.
struct watched_store
{
    stand_in::memory_store data;
    virtual_store way{data};
    std::shared_ptr<const configuration> held;
    std::uint64_t adopted = 0;
    store_watcher watcher;
    millis now = seconds(1);
    bool is_watcher = true;

    watched_store()
        : watcher(way, {}, {},
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

    // Writes the next version straight into the store.
    auto change() -> void
    {
        const auto is_first = stored.version == 0;
        const auto name = "s" + std::to_string(stored.version);
        const endpoint address{
            static_cast<std::uint32_t>(0x0a000001 + stored.version), 5683};
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
            way.run(now);
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

TEST_CASE("a watcher is told each change")
{
    watched_store world;
    world.run(seconds(1));
    CHECK(world.held == nullptr);
    for (int n = 0; n < 5; ++n)
    {
        world.change();
        world.run(milliseconds(200));
        CHECK(world.is_current());
    }
    CHECK(world.adopted == 5);
}

TEST_CASE("a watcher that holds what the store holds reads one value")
{
    watched_store world;
    world.change();
    world.held = std::make_shared<const configuration>(world.stored);
    world.run(seconds(2));
    CHECK(world.way.ranges == 1);
    world.change();
    world.run(seconds(1));
    CHECK(world.is_current());
}

TEST_CASE("a watch that is silently dead is noticed within the bound")
{
    watched_store world;
    world.change();
    world.run(seconds(2));
    REQUIRE(world.is_current());
    world.way.silent_watches = true;
    world.change();
    world.run(tick_interval);
    // New watches work; the old one stays dumb.
    world.way.silent_watches = false;
    CHECK_FALSE(world.is_current());
    world.run(in_force_max);
    CHECK(world.is_current());
    CHECK(world.watcher.silent_watches() == 1);
}

TEST_CASE("watches that stay silent do not keep changes away")
{
    watched_store world;
    world.change();
    world.run(seconds(2));
    world.way.silent_watches = true;
    for (int n = 0; n < 5; ++n)
    {
        world.change();
        world.run(in_force_max);
        CHECK(world.is_current());
    }
}

TEST_CASE("late and repeated events lead to the same configuration")
{
    watched_store world;
    world.change();
    world.run(seconds(2));
    world.way.repeat_events = true;
    world.way.event_delay = milliseconds(400);
    for (int n = 0; n < 5; ++n)
    {
        world.change();
        world.run(milliseconds(150));
    }
    world.run(seconds(1));
    CHECK(world.is_current());
    CHECK(world.adopted == 6);
}

TEST_CASE("an hour without the store changes nothing and costs little")
{
    watched_store world;
    world.change();
    world.run(seconds(2));
    const auto before = world.way.calls;
    world.way.down = true;
    world.run(minutes(60));
    CHECK(world.is_current());
    CHECK_FALSE(world.watcher.store_answers());
    // One call in about three seconds.
    CHECK(world.way.calls - before < 2000);
    world.change();
    world.way.down = false;
    world.run(in_force_max);
    CHECK(world.is_current());
    CHECK(world.watcher.store_answers());
}

TEST_CASE("what was compacted away meanwhile is read as a whole")
{
    watched_store world;
    world.change();
    world.run(seconds(2));
    world.way.down = true;
    world.run(seconds(10));
    world.change();
    world.change();
    world.data.compact();
    world.way.down = false;
    world.run(in_force_max);
    CHECK(world.is_current());
    world.change();
    world.run(seconds(1));
    CHECK(world.is_current());
}

TEST_CASE("a process that is no watcher calls nothing")
{
    watched_store world;
    world.change();
    world.run(seconds(2));
    world.is_watcher = false;
    world.run(seconds(1));
    const auto before = world.way.calls;
    world.run(minutes(10));
    CHECK(world.way.calls == before);
}
