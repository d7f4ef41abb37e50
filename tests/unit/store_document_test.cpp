#include "node/store/document_watch.hpp"
#include "node/store/member_directory.hpp"
#include "stand_ins/store/virtual_store.hpp"

#include <doctest/doctest.h>

using namespace briardrum;
using briardrum::stand_in::virtual_store;

namespace
{

constexpr auto tick_interval = milliseconds(50);

struct document_watch_fixture
{
    stand_in::memory_store data;
    virtual_store client{data};
    std::vector<std::string> received;
    std::vector<std::string> events;
    document_watch watch{client,
                         {"op/config"},
                         {[this](const std::string& value, store_revision)
                          {
                              received.push_back(value);
                          },
                          [this](const event& it)
                          {
                              events.emplace_back(it.name());
                          }},
                         1};
    millis now = seconds(1);

    document_watch_fixture()
    {
        client.poll_interval = seconds(2);
    }

    auto put(const std::string& value) -> void
    {
        store_transaction request;
        request.writes.push_back({"op/config", value, false, 0});
        virtual_store writer(data);
        writer.commit(request,
                      [](const absl::StatusOr<store_commit_result>& result)
                      {
                          CHECK(result.ok());
                      });
        writer.run(now);
        writer.run(now + seconds(1));
    }

    auto run(millis span) -> void
    {
        const auto end = now + span;
        while (now < end)
        {
            now += tick_interval;
            client.run(now);
            watch.tick(now);
        }
    }
};

} // namespace

TEST_CASE("a document is read and then watched for changes")
{
    document_watch_fixture it;
    it.put("one");
    it.run(seconds(1));
    REQUIRE(it.received == std::vector<std::string>{"one"});
    it.put("two");
    it.run(seconds(1));
    CHECK(it.received == std::vector<std::string>{"one", "two"});
    CHECK(it.watch.is_connected());
}

TEST_CASE("a document is read when the store becomes reachable, only once")
{
    document_watch_fixture it;
    it.client.down = true;
    it.run(seconds(3));
    CHECK(it.received.empty());
    CHECK_FALSE(it.watch.is_connected());
    it.put("one");
    it.client.down = false;
    it.run(seconds(3));
    REQUIRE(it.received == std::vector<std::string>{"one"});
    CHECK(it.events == std::vector<std::string>{"store_lost", "store_reached"});
    it.watch.refresh(it.now);
    it.run(seconds(1));
    CHECK(it.received.size() == 1);
}

TEST_CASE("a refresh reads a change that a silent watch missed")
{
    document_watch_fixture it;
    it.put("one");
    it.run(seconds(1));
    it.client.silent_watches = true;
    it.put("two");
    it.run(seconds(1));
    CHECK(it.received.size() == 1);
    it.watch.refresh(it.now);
    it.run(seconds(1));
    CHECK(it.received == std::vector<std::string>{"one", "two"});
}

// Guards against: after a watch had gone silent, the key was read only after a
// delay, and a configuration came into force too late.
TEST_CASE("a document is read at once when its watch ends")
{
    document_watch_fixture it;
    it.put("one");
    it.run(seconds(1));
    it.client.silent_watches = true;
    it.put("two");
    it.run(seconds(1));
    REQUIRE(it.received.back() == "one");
    it.client.end_watches();
    // The watch ends in the first step, and the answer arrives in the second.
    it.run(tick_interval * 2);
    CHECK(it.received.back() == "two");
}

// Guards against: after a restore, configurations that the operators had
// confirmed never came into force, since their revisions had been given out
// before.
TEST_CASE("a store restored from an older copy: changes at revisions that were "
          "given out before are delivered")
{
    document_watch_fixture it;
    it.put("one");
    const auto copy = it.data;
    it.put("two");
    it.put("three");
    it.run(seconds(1));
    REQUIRE(it.received == std::vector<std::string>{"three"});
    const auto held_revision = it.watch.position().revision;
    it.client.down = true;
    it.run(seconds(2));
    it.data.restore(copy);
    it.put("three");
    it.client.down = false;
    it.run(seconds(3));
    it.put("four");
    REQUIRE(it.data.revision() == held_revision);
    it.run(seconds(1));
    CHECK(it.received.back() == "four");
}

// Guards against: a watch that outlived a restore goes on at a revision that
// the store passed unseen, and misses the change that was written before it.
TEST_CASE("a store restored from an older copy: changes below the watched "
          "revision are delivered")
{
    document_watch_fixture it;
    it.put("one");
    const auto copy = it.data;
    it.put("two");
    it.run(seconds(1));
    const auto held_revision = it.watch.position().revision;
    it.data.restore(copy);
    it.put("three");
    for (int n = 0; n < 3; ++n)
    {
        it.data.commit({{}, {{"other", "value", false, 0}}});
    }
    REQUIRE(it.data.revision() > held_revision);
    it.run(seconds(3));
    CHECK(it.received == std::vector<std::string>{"two", "three"});
}

// Guards against: a store that answers from either history by turns makes every
// process read without a pause.
TEST_CASE("a store restored from an older copy: reads are spaced while its "
          "answers alternate between histories")
{
    document_watch_fixture it;
    it.client.poll_interval = tick_interval;
    it.put("one");
    it.run(seconds(1));
    const auto copy = it.data;
    const auto reads_before = it.client.ranges;
    constexpr std::uint64_t rounds = 100;
    for (std::uint64_t n = 0; n < rounds; ++n)
    {
        it.data.restore(copy);
        it.run(tick_interval);
    }
    const auto span = tick_interval * static_cast<std::int64_t>(rounds);
    const auto reads_max = static_cast<std::uint64_t>(
        span.count / document_watch_settings{}.retry_interval.count + 1);
    CHECK(it.client.ranges - reads_before <= reads_max);
    it.put("two");
    it.run(seconds(1));
    CHECK(it.received.back() == "two");
}

TEST_CASE("an isolated member finds a published address")
{
    stand_in::memory_store data;
    virtual_store first_client(data);
    virtual_store second_client(data);
    std::vector<endpoint> found;
    const endpoint address{0x0a000001, 7000};
    member_directory first(first_client, {{"m/"}, "first", address, true},
                           {[](std::span<const endpoint>) {}, {}});
    member_directory second(second_client, {{"m/"}, "second", {2, 2}, false},
                            {[&](std::span<const endpoint> more)
                             {
                                 found.assign(more.begin(), more.end());
                             },
                             {}});
    for (auto now = seconds(1); now < seconds(3); now += tick_interval)
    {
        first.tick(now, true);
        first_client.run(now);
        second.tick(now, true);
        second_client.run(now);
    }
    CHECK(found == std::vector<endpoint>{address});
    // While neither is isolated there are no further reads or writes.
    const auto calls = first_client.calls + second_client.calls;
    for (auto now = seconds(3); now < seconds(30); now += tick_interval)
    {
        first.tick(now, false);
        first_client.run(now);
        second.tick(now, false);
        second_client.run(now);
    }
    CHECK(first_client.calls + second_client.calls == calls);
}

// Guards against: after a restore, members that start alone find no address of
// a balancer, since each considers its own as published.
TEST_CASE("a store restored from an older copy: an address is published again")
{
    stand_in::memory_store data;
    const auto empty_copy = data;
    virtual_store client(data);
    const endpoint address{0x0a000001, 7000};
    member_directory directory(client, {{"m/"}, "first", address, true},
                               {[](std::span<const endpoint>) {}, {}});
    auto now = seconds(1);
    auto is_isolated = false;
    const auto run = [&](millis span)
    {
        for (const auto end = now + span; now < end; now += tick_interval)
        {
            directory.tick(now, is_isolated);
            client.run(now);
        }
    };
    const auto is_published = [&]
    {
        return !data.range({"m/first", "", 0, 0}).values.empty();
    };
    run(seconds(1));
    REQUIRE(is_published());

    SUBCASE("the entry is gone")
    {
        data.restore(empty_copy);
        directory.on_store_restored();
        run(seconds(3));
        CHECK(is_published());
    }
    SUBCASE("a read that may be from before the restore does not count")
    {
        const auto revision = data.revision();
        is_isolated = true;
        directory.on_store_restored();
        run(seconds(3));
        CHECK(data.revision() > revision);
        is_isolated = false;
    }
    const auto calls = client.calls;
    run(seconds(10));
    CHECK(client.calls == calls);
}

// Guards against: entries of two histories are taken for one state.
TEST_CASE(
    "a store restored from an older copy between two pages fails the read")
{
    const store_range_result first{9, {{"a", "1", 1, 1}}, true, 1};
    auto pages = store_range_result{};
    REQUIRE(append_page(pages, first).ok());
    REQUIRE(append_page(pages, {12, {{"b", "2", 2, 2}}, true, 1}).ok());
    CHECK(pages.revision == 9);
    CHECK(pages.values.size() == 2);
    CHECK(
        error_kind_of(append_page(pages, {9, {{"c", "3", 3, 3}}, false, 2})) ==
        error_kind::unavailable);
}
