#include "io/store/store_client.hpp"
#include "io/threads/task_queue.hpp"
#include "stand_ins/store/store_gateway.hpp"

#include <doctest/doctest.h>
#include <httplib.h>
#include <optional>

using namespace briardrum;

namespace
{

constexpr endpoint any_loopback_port = {0x7f000001, 0};

// A store client connected to a stand-in store over loopback.
struct store_client_fixture
{
    stand_in::store_gateway gateway{{}};
    task_queue tasks;
    std::unique_ptr<store_client> client;

    store_client_fixture()
    {
        REQUIRE(gateway.start(any_loopback_port));
        store_client_settings settings;
        settings.addresses = {gateway.local()};
        settings.call_timeout = milliseconds(500);
        client =
            std::make_unique<store_client>(settings,
                                           [this](std::function<void()> task)
                                           {
                                               tasks.post(std::move(task));
                                           });
    }

    template <typename Condition>
    auto run_until(Condition condition) -> void
    {
        while (!condition())
        {
            tasks.run_one(milliseconds(100));
        }
    }

    auto set_faults(const std::string& text) -> void
    {
        httplib::Client control("127.0.0.1", gateway.local().port);
        const auto answer =
            control.Post("/stand_in/fault", text, "application/json");
        REQUIRE(answer);
        REQUIRE(answer->status == 200);
    }

    template <typename Result, typename Call>
    auto wait_for(Call call) -> absl::StatusOr<Result>
    {
        std::optional<absl::StatusOr<Result>> out;
        call(
            [&](const absl::StatusOr<Result>& result)
            {
                out = result;
            });
        run_until(
            [&]
            {
                return out.has_value();
            });
        return *out;
    }

    auto put(const std::string& key, const std::string& value,
             store_revision expected) -> absl::StatusOr<store_commit_result>
    {
        return wait_for<store_commit_result>(
            [&](auto done)
            {
                client->commit(
                    {{{key, store_compare::field::mod_revision, expected}},
                     {{key, value, false, 0}}},
                    done);
            });
    }

    auto get(const std::string& key) -> absl::StatusOr<store_range_result>
    {
        return wait_for<store_range_result>(
            [&](auto done)
            {
                client->range({key, prefix_end(key), 0, 0}, done);
            });
    }
};

const std::string binary_value = std::string("a\0\xff\n\"b", 6);

} // namespace

TEST_CASE("the store client writes only when the compare holds, and reads back")
{
    store_client_fixture fixture;
    const auto first = fixture.put("/k/1", binary_value, 0);
    REQUIRE(first.ok());
    CHECK(first->succeeded);
    const auto second = fixture.put("/k/1", "other", 0);
    REQUIRE(second.ok());
    CHECK_FALSE(second->succeeded);
    const auto found = fixture.get("/k/");
    REQUIRE(found.ok());
    REQUIRE(found->values.size() == 1);
    CHECK(found->values[0].key == "/k/1");
    CHECK(found->values[0].value == binary_value);
    CHECK(found->values[0].mod_revision == first->revision);
    CHECK(fixture.client->counts().commit == 2);
    CHECK(fixture.client->counts().range == 1);
}

TEST_CASE("the store client reports unknown outcomes and counts failed calls")
{
    store_client_fixture fixture;
    fixture.set_faults(R"({"lose_answers": 1})");
    const auto lost = fixture.put("/k/1", "x", 0);
    CHECK(error_kind_of(lost.status()) == error_kind::unknown_outcome);
    CHECK(fixture.get("/k/")->values.size() == 1);
    fixture.set_faults(R"({"slow_ms": 1500})");
    const auto slow = fixture.put("/k/2", "x", 0);
    CHECK(error_kind_of(slow.status()) == error_kind::unknown_outcome);
    fixture.gateway.stop();
    const auto down = fixture.put("/k/3", "x", 0);
    CHECK(error_kind_of(down.status()) != error_kind::none);
    CHECK(fixture.client->counts().failed == 3);
}

TEST_CASE("a watch delivers past and new events until it is cancelled")
{
    store_client_fixture fixture;
    const auto first = fixture.put("/k/1", binary_value, 0);
    std::vector<store_event> events;
    const auto id = fixture.client->watch(
        {"/k/", prefix_end("/k/"), first->revision},
        [&](const auto& batch)
        {
            REQUIRE(batch.ok());
            events.insert(events.end(), batch->events.begin(),
                          batch->events.end());
        });
    fixture.run_until(
        [&]
        {
            return events.size() == 1;
        });
    CHECK(events[0].value == binary_value);
    fixture.put("/k/2", "two", 0).IgnoreError();
    fixture.run_until(
        [&]
        {
            return events.size() == 2;
        });
    CHECK(events[1].key == "/k/2");
    fixture.client->cancel_watch(id);
    fixture.put("/k/3", "three", 0).IgnoreError();
    CHECK(fixture.get("/k/")->values.size() == 3);
    CHECK(events.size() == 2);
}

TEST_CASE("leases are granted, kept alive and reported as expired")
{
    store_client_fixture fixture;
    const auto lease = fixture.wait_for<store_lease>(
        [&](auto done)
        {
            fixture.client->grant_lease(seconds(30), done);
        });
    REQUIRE(lease.ok());
    CHECK(lease->remaining == seconds(30));
    const auto keep_alive_lease = [&]
    {
        return fixture.wait_for<store_lease>(
            [&](auto done)
            {
                fixture.client->keep_alive(lease->id, done);
            });
    };
    CHECK(keep_alive_lease()->remaining == seconds(30));
    fixture.set_faults(R"({"expire_leases": true})");
    CHECK(keep_alive_lease()->remaining == millis{});
}
