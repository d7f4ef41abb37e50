#include "routing/routing.hpp"
#include "tests/fakes/balancer_fixture.hpp"

#include <doctest/doctest.h>
#include <numeric>

using namespace briardrum;
using namespace briardrum::tests;

namespace
{

constexpr std::size_t budget = 100;

auto policy_of(std::uint32_t share_percent, urgency level) -> service_policy
{
    service_policy policy;
    policy.share_percent = share_percent;
    policy.level = level;
    return policy;
}

// One agent for each service. orders is normal, stock is urgent, surveys is
// bulk.
struct three_services : balancer_fixture
{
    three_services()
    {
        add_service("orders", policy_of(40, urgency::normal));
        add_service("stock", policy_of(20, urgency::urgent));
        add_service("surveys", policy_of(10, urgency::bulk));
        adopt_configuration();
        std::uint32_t number = 1;
        for (const auto* name : {"orders", "stock", "surveys"})
        {
            deliver_gossip(make_agent(number++, name));
        }
    }

    auto packets(const std::string& service, std::size_t n) -> void
    {
        for (std::size_t i = 0; i < n; ++i)
        {
            packet(service, static_cast<std::uint16_t>(1 + i));
        }
    }
};

} // namespace

TEST_CASE(
    "a flood of bulk packets does not reduce the shares of other services")
{
    three_services it;
    for (int pass = 0; pass < 50; ++pass)
    {
        it.packets("surveys", 20 * budget);
        it.packets("orders", 40);
        it.packets("stock", 20);
        it.serve(budget);
        it.now += milliseconds(10);
    }
    CHECK(it.sent_to("orders") == 50 * 40);
    CHECK(it.sent_to("stock") == 50 * 20);
    // The flood gets the unused shares, and only its own packets are dropped.
    CHECK(it.sent_to("surveys") == 50 * 40);
    CHECK(it.counter("dropped_over_share", "orders") == 0);
    CHECK(it.counter("dropped_over_share", "stock") == 0);
    CHECK(it.counter("dropped_over_share", "surveys") > 0);
}

TEST_CASE(
    "a flood of urgent packets does not reduce the shares of other services")
{
    three_services it;
    for (int pass = 0; pass < 50; ++pass)
    {
        it.packets("stock", 20 * budget);
        it.packets("orders", 40);
        it.packets("surveys", 10);
        it.serve(budget);
        it.now += milliseconds(10);
    }
    CHECK(it.sent_to("orders") == 50 * 40);
    CHECK(it.sent_to("surveys") == 50 * 10);
    CHECK(it.sent_to("stock") == 50 * 50);
}

TEST_CASE("unused shares go to the more urgent services")
{
    three_services it;
    it.packets("surveys", 500);
    it.packets("stock", 500);
    it.serve(budget);
    CHECK(it.sent_to("surveys") == 10);
    CHECK(it.sent_to("stock") == 90);
}

TEST_CASE("small budgets starve no service")
{
    three_services it;
    it.packets("surveys", 1000);
    it.packets("stock", 1000);
    it.packets("orders", 1000);
    for (int pass = 0; pass < 1000; ++pass)
    {
        it.serve(1);
    }
    CHECK(it.sent_to("surveys") >= 95);
    CHECK(it.sent_to("orders") >= 395);
    CHECK(it.sent_to("stock") >= 195);
}

TEST_CASE("a full queue drops the oldest packets of the service over its quota")
{
    three_services it;
    const auto capacity = scheduler_limits{}.packets_max;
    it.packets("surveys", capacity);
    it.packets("orders", 100);
    CHECK(it.counter("dropped_over_share", "surveys") == 100);
    it.serve(capacity);
    CHECK(it.sent_to("orders") == 100);
    // The first surveys packet sent is the oldest one that was not dropped.
    for (const auto& item : it.sent)
    {
        if (item.message.service == it.config.services.at("surveys").id)
        {
            CHECK(item.message.caller.port == 101);
            break;
        }
    }
}

TEST_CASE("packets that waited longer than wait_max are dropped")
{
    three_services it;
    it.packets("orders", 10);
    it.now += scheduler_limits{}.wait_max + milliseconds(1);
    it.packets("orders", 5);
    it.serve();
    CHECK(it.sent_to("orders") == 5);
    CHECK(it.counter("dropped_too_late", "orders") == 10);
}

TEST_CASE(
    "a full queue is sent each round even with more services than queue slots")
{
    constexpr std::size_t services = 64;
    scheduler_limits limits;
    limits.packets_max = 16;
    std::vector<std::size_t> sent(services);
    packet_scheduler scheduler(limits,
                               {[&](service_index service, const queued_packet&)
                                {
                                    ++sent[service];
                                },
                                {}});
    scheduler.set_services(std::vector<service_share>(services, {10, {}}));
    const std::vector<std::uint8_t> datagram(40);
    for (int pass = 0; pass < 100; ++pass)
    {
        for (service_index service = 0; service < services; ++service)
        {
            scheduler.push({}, service, {}, {}, datagram);
        }
        scheduler.serve({}, 16);
    }
    CHECK(scheduler.waiting() == 0);
    CHECK(std::accumulate(sent.begin(), sent.end(), std::size_t{0}) == 1600);
}

TEST_CASE("a new preset applies to packets that are already queued")
{
    three_services it;
    it.packets("surveys", 300);
    it.packets("orders", 300);
    auto& policies = it.config.presets["ordinary"].policies;
    policies["surveys"] = policy_of(60, urgency::urgent);
    it.adopt_configuration();
    it.serve(budget);
    CHECK(it.sent_to("surveys") >= 60);
    CHECK(it.sent_to("surveys") + it.sent_to("orders") == budget);
}
