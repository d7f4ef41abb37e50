#include "node/store/document_watch.hpp"
#include "node/store/member_directory.hpp"
#include "stand_ins/store/virtual_store.hpp"

#include <doctest/doctest.h>

using namespace briardrum;
using briardrum::stand_in::virtual_store;

namespace
{

constexpr auto step = milliseconds(50);

struct watched_document
{
    stand_in::memory_store data;
    virtual_store way{data};
    std::vector<std::string> seen;
    std::vector<std::string> events;
    document_watch watch{way,
                         {"op/config"},
                         {[this](const std::string& value, store_revision)
                          {
                              seen.push_back(value);
                          },
                          [this](const event& it)
                          {
                              events.emplace_back(it.name());
                          }},
                         1};
    millis now = seconds(1);

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

    auto pass(millis span) -> void
    {
        const auto end = now + span;
        while (now < end)
        {
            now += step;
            way.run(now);
            watch.tick(now);
        }
    }
};

} // namespace

TEST_CASE("a document is read, then followed")
{
    watched_document it;
    it.put("one");
    it.pass(seconds(1));
    REQUIRE(it.seen == std::vector<std::string>{"one"});
    it.put("two");
    it.pass(seconds(1));
    CHECK(it.seen == std::vector<std::string>{"one", "two"});
    CHECK(it.watch.is_connected());
}

TEST_CASE("a store that is away at the start, or later, loses nothing")
{
    watched_document it;
    it.way.down = true;
    it.pass(seconds(3));
    CHECK(it.seen.empty());
    CHECK_FALSE(it.watch.is_connected());
    it.put("one");
    it.way.down = false;
    it.pass(seconds(3));
    REQUIRE(it.seen == std::vector<std::string>{"one"});
    CHECK(it.events == std::vector<std::string>{"store_lost", "store_reached"});
    it.watch.refresh(it.now);
    it.pass(seconds(1));
    CHECK(it.seen.size() == 1);
}

TEST_CASE("a silent watch is got round by a refresh")
{
    watched_document it;
    it.put("one");
    it.pass(seconds(1));
    it.way.silent_watches = true;
    it.put("two");
    it.pass(seconds(1));
    CHECK(it.seen.size() == 1);
    it.watch.refresh(it.now);
    it.pass(seconds(1));
    CHECK(it.seen == std::vector<std::string>{"one", "two"});
}

TEST_CASE("a member that publishes itself is found by one that is alone")
{
    stand_in::memory_store data;
    virtual_store first_way(data);
    virtual_store second_way(data);
    std::vector<endpoint> found;
    const endpoint address{0x0a000001, 7000};
    member_directory first(first_way, {"m/", "first", address, true},
                           {[](std::span<const endpoint>) {}, {}});
    member_directory second(second_way, {"m/", "second", {2, 2}, false},
                            {[&](std::span<const endpoint> more)
                             {
                                 found.assign(more.begin(), more.end());
                             },
                             {}});
    for (auto now = seconds(1); now < seconds(3); now += step)
    {
        first.tick(now, true);
        first_way.run(now);
        second.tick(now, true);
        second_way.run(now);
    }
    CHECK(found == std::vector<endpoint>{address});
    // Once it is no longer alone, nobody reads; one write was enough.
    const auto calls = first_way.calls + second_way.calls;
    for (auto now = seconds(3); now < seconds(30); now += step)
    {
        first.tick(now, false);
        first_way.run(now);
        second.tick(now, false);
        second_way.run(now);
    }
    CHECK(first_way.calls + second_way.calls == calls);
}
