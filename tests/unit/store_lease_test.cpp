#include "node/store/lease_holder.hpp"
#include "stand_ins/store/virtual_store.hpp"

#include <doctest/doctest.h>
#include <optional>

using namespace briardrum;
using briardrum::stand_in::virtual_store;

namespace
{

constexpr auto tick_interval = milliseconds(100);
constexpr auto lease_key = "/briardrum/totals/writer";

// A process that competes to be the writer of the daily totals.
struct writer
{
    virtual_store client;
    lease_holder holder;
    bool paused = false;

    writer(stand_in::memory_store& data, const std::string& name)
        : client(data), holder(client, lease_key, name, {})
    {
    }

    auto run(millis now) -> void
    {
        if (!paused)
        {
            client.run(now);
            holder.tick(now);
        }
    }
};

struct lease_fixture
{
    stand_in::memory_store data;
    writer one{data, "one"};
    writer two{data, "two"};
    millis now = seconds(1);

    auto run(millis span) -> void
    {
        const auto end = now + span;
        while (now < end)
        {
            now += tick_interval;
            data.expire(now);
            one.run(now);
            two.run(now);
        }
    }

    // Writes a total; returns true when it took effect.
    auto write(writer& process, const std::string& value) -> bool
    {
        std::optional<bool> written;
        process.holder.write({{"/briardrum/totals/day", value, false, 0}},
                             [&](const auto& result)
                             {
                                 written = result.ok() && result->succeeded;
                             });
        run(seconds(1));
        REQUIRE(written.has_value());
        return *written;
    }

    auto total() -> std::string
    {
        const auto found = data.range({"/briardrum/totals/day", "", 0, 0});
        return found.values.empty() ? "" : found.values[0].value;
    }
};

} // namespace

TEST_CASE("only the process that holds the lease can write")
{
    lease_fixture fixture;
    fixture.run(seconds(60));
    CHECK(fixture.one.holder.is_holder() != fixture.two.holder.is_holder());
    auto& holder = fixture.one.holder.is_holder() ? fixture.one : fixture.two;
    auto& other = fixture.one.holder.is_holder() ? fixture.two : fixture.one;
    CHECK(fixture.write(holder, "1"));
    CHECK_FALSE(fixture.write(other, "2"));
    CHECK(fixture.total() == "1");
}

TEST_CASE("a holder that was paused beyond its lease cannot write")
{
    lease_fixture fixture;
    fixture.run(seconds(10));
    auto& paused = fixture.one.holder.is_holder() ? fixture.one : fixture.two;
    auto& other = fixture.one.holder.is_holder() ? fixture.two : fixture.one;
    REQUIRE(fixture.write(paused, "before"));
    paused.paused = true;
    fixture.run(seconds(40));
    REQUIRE(other.holder.is_holder());
    REQUIRE(fixture.write(other, "after"));
    // It resumes, still considers itself the holder and writes immediately.
    REQUIRE(paused.holder.is_holder());
    bool written = true;
    paused.holder.write({{"/briardrum/totals/day", "stale", false, 0}},
                        [&](const auto& result)
                        {
                            written = result.ok() && result->succeeded;
                        });
    for (int n = 0; n < 10; ++n)
    {
        fixture.now += milliseconds(10);
        paused.client.run(fixture.now);
    }
    CHECK_FALSE(written);
    CHECK(fixture.total() == "after");
    paused.paused = false;
    fixture.run(seconds(10));
    CHECK_FALSE(paused.holder.is_holder());
}

TEST_CASE("a holder whose lease the store ends early cannot write")
{
    lease_fixture fixture;
    fixture.run(seconds(10));
    auto& holder = fixture.one.holder.is_holder() ? fixture.one : fixture.two;
    fixture.data.expire_all();
    CHECK_FALSE(fixture.write(holder, "stale"));
    CHECK(fixture.total().empty());
    fixture.run(seconds(30));
    CHECK(fixture.one.holder.is_holder() != fixture.two.holder.is_holder());
}

// Guards against: after a restore, two processes hold the lease at once and
// both write, since the fencing token of one was given to the other as well.
TEST_CASE("a store restored from an older copy: a fencing token of before does "
          "not write")
{
    lease_fixture it;
    const auto copy = it.data;
    it.two.paused = true;
    it.run(seconds(2));
    REQUIRE(it.one.holder.is_holder());
    const auto key_revision = [&]
    {
        return it.data.range({lease_key, "", 0, 0})
            .values.at(0)
            .create_revision;
    };
    const auto token = key_revision();
    it.one.paused = true;
    it.data.restore(copy);
    it.two.paused = false;
    it.run(seconds(2));
    REQUIRE(it.two.holder.is_holder());
    REQUIRE(key_revision() == token);
    CHECK(it.write(it.two, "2"));
    it.one.paused = false;
    REQUIRE(it.one.holder.is_holder());
    CHECK_FALSE(it.write(it.one, "1"));
    CHECK(it.total() == "2");
    // Renewing the lease of the other does not make it the holder.
    it.run(lease_holder_settings{}.ttl / 2);
    CHECK_FALSE(it.one.holder.is_holder());
    CHECK(it.two.holder.is_holder());
}
