#include "bench/rig/packets/packet_fleet.hpp"
#include "config/settings/hedging_settings.hpp"
#include "platform/operator_configuration.hpp"
#include "platform/packet_header.hpp"
#include "tests/fakes/agent_fixture.hpp"

#include <doctest/doctest.h>

using namespace briardrum;
using namespace briardrum::tests;

namespace
{

constexpr endpoint route_address{0xc6120001, 443};
constexpr std::uint32_t caller_address = 0x64400001;
constexpr std::uint16_t port = 3;
constexpr std::uint16_t request_bytes = 300;
constexpr std::uint32_t own_sequence = 1'000'000;
constexpr std::uint32_t other_sequence = 900'000'000;

auto opening_from(std::uint32_t caller) -> flow_packet
{
    flow_packet out;
    out.source = {caller_address + caller / 50000,
                  static_cast<std::uint16_t>(1 + caller % 50000)};
    out.destination = route_address;
    out.opens = true;
    return out;
}

auto enabled_settings() -> hedging_settings
{
    hedging_settings out;
    out.enabled = true;
    return out;
}

// An opening_hedger for one service, with the times of its hedges.
struct hedger_fixture
{
    explicit hedger_fixture(hedging_settings settings = enabled_settings())
        : hedger({[this](millis at, const kept_opening&)
                  {
                      sent.push_back(at);
                      return true;
                  },
                  {}})
    {
        hedger.configure(now, settings);
    }

    auto open() -> std::uint32_t
    {
        hedger.on_opening(now, "live", 1, opening_from(next_caller));
        return next_caller++;
    }

    auto answer(std::uint32_t caller) -> bool
    {
        return hedger.on_next_packet(now,
                                     flow_from_caller(opening_from(caller)));
    }

    // One opening each 5 ms for this long, answered at once except each
    // slow_every-th.
    auto run(millis span, std::uint32_t slow_every = 0) -> void
    {
        const auto end = now + span;
        while (now < end)
        {
            const auto caller = open();
            if (slow_every == 0 || caller % slow_every != 0)
            {
                answer(caller);
            }
            now += milliseconds(5);
            hedger.tick(now);
        }
    }

    // Past the start time and with enough samples.
    auto settle() -> void
    {
        run(seconds(6));
        REQUIRE(sent.empty());
        REQUIRE(hedger.delay_of("live").has_value());
    }

    millis now = seconds(100);
    std::vector<millis> sent;
    opening_hedger hedger;
    std::uint32_t next_caller = 0;
};

// A balancer with hedging for five agents of one service, one of another, and
// a record of its packets.
struct balancer_with_hedging
{
    struct sent_packet
    {
        endpoint to;
        packet_label label;
    };

    balancer_with_hedging()
        : members(record_of(0), {}, {}, {}, 1), core(members, make_hooks())
    {
        for (std::uint32_t n = 1; n <= 6; ++n)
        {
            control_message message;
            message.from = record_of(n).id;
            message.from_incarnation = 1;
            message.body = gossip_message{{record_of(n)}, false};
            members.on_control(now, message);
        }
        adopt("orders", true);
        core.configure_hedging(now, enabled_settings());
        for (std::uint32_t n = 0; n < 1300; ++n)
        {
            core.on_caller_packet(now, opening_from(next_caller));
            acknowledge(next_caller++);
            advance(milliseconds(5));
        }
        REQUIRE(hedges() == 0);
        sent.clear();
    }

    static auto record_of(std::uint32_t number) -> member_record
    {
        member_record out;
        out.name = "member-" + std::to_string(number);
        out.id = member_id_of(out.name);
        out.incarnation = 1;
        out.kind = number == 0 ? member_kind::balancer : member_kind::agent;
        out.state = member_state::ready;
        out.data_address = {0x0a010000 + number, 8000};
        out.control_address = {0x0a010000 + number, 7000};
        out.service_name = number == 0   ? ""
                           : number == 6 ? "surveys"
                                         : "orders";
        return out;
    }

    auto make_hooks() -> packet_hooks
    {
        packet_hooks out;
        out.send_labelled = [this](const endpoint& to, const flow_packet&,
                                   const packet_label& label)
        {
            sent.push_back({to, label});
        };
        return out;
    }

    auto adopt(const std::string& service, bool may_repeat) -> void
    {
        route item{{{service, 1}}, 0};
        item.may_repeat = may_repeat;
        auto routes = std::make_shared<route_table>();
        routes->version = ++version;
        routes->routes[route_address] = std::move(item);
        core.adopt(now, std::move(routes));
    }

    auto remove_route() -> void
    {
        auto routes = std::make_shared<route_table>();
        routes->version = ++version;
        core.adopt(now, std::move(routes));
    }

    auto acknowledge(std::uint32_t caller) -> void
    {
        auto packet = opening_from(caller);
        packet.opens = false;
        packet.acknowledges = true;
        core.on_caller_packet(now, packet);
    }

    // Opens a flow that stays unanswered.
    auto open() -> std::uint32_t
    {
        core.on_caller_packet(now, opening_from(next_caller));
        return next_caller++;
    }

    auto copy(std::uint32_t caller, std::uint8_t number) -> void
    {
        auto packet = opening_from(caller);
        packet.retransmissions = number;
        core.on_caller_packet(now, packet);
    }

    auto hint(std::uint32_t caller, const endpoint& owner) -> void
    {
        auto notice = opening_from(caller);
        notice.opens = false;
        notice.label.kind = label_kind::hint;
        notice.label.owner_address = owner.address;
        notice.label.best_position = packet_label::hedged_mark;
        core.on_hint(notice);
    }

    auto advance(millis span) -> void
    {
        const auto end = now + span;
        while (now < end)
        {
            now += milliseconds(5);
            core.tick(now);
        }
    }

    auto hedges() const -> std::size_t
    {
        return static_cast<std::size_t>(
            std::count_if(sent.begin(), sent.end(),
                          [](const sent_packet& it)
                          {
                              return it.label.kind == label_kind::hedge;
                          }));
    }

    millis now = seconds(100);
    member_view members;
    packet_balancer core;
    std::vector<sent_packet> sent;
    configuration_version version = 0;
    std::uint32_t next_caller = 0;
};

auto hedge_of(const agent_fixture& it, std::uint16_t from) -> flow_packet
{
    auto out = it.opening(from);
    out.label.kind = label_kind::hedge;
    out.label.hops = 1;
    return out;
}

// A packet of the flow that acknowledges a server's answer to the opening
// packet.
auto data_after(agent_fixture& it, std::uint32_t sequence) -> flow_packet
{
    auto out = it.data(port, request_bytes);
    out.acknowledged = sequence + 1;
    return out;
}

auto error_of(std::string_view text) -> std::string
{
    const auto read = parse_hedging_settings(text, "h.json");
    REQUIRE_FALSE(read.ok());
    return std::string(read.status().message());
}

} // namespace

// Guards against: an operator allows 2 % of extra work, and a burst of slow
// openings gets more than that in one second.
TEST_CASE("the budget of hedges holds in every second under a burst")
{
    hedger_fixture it;
    it.settle();
    // Each eleventh opening stays unanswered: slow, and still calm.
    it.run(seconds(20), 11);
    REQUIRE(it.sent.size() > 50);
    constexpr double openings_per_second = 200;
    const auto settings = enabled_settings();
    const auto allowed = settings.cap + settings.share * openings_per_second;
    for (const auto& from : it.sent)
    {
        const auto n =
            std::count_if(it.sent.begin(), it.sent.end(),
                          [&](millis at)
                          {
                              return at >= from && at < from + seconds(1);
                          });
        CHECK(static_cast<double>(n) <= allowed);
    }
    const auto openings = static_cast<double>(it.next_caller);
    CHECK(static_cast<double>(it.sent.size()) <=
          settings.cap + settings.share * openings);
    CHECK(it.hedger.counters().over_budget > 0);
}

// Guards against: all servers lose power, and hedging adds to the openings
// with which everything starts again.
TEST_CASE("hedging is off after a mass event until the service is calm")
{
    hedger_fixture it;
    it.settle();
    // The event shows once a tenth of the openings of two seconds are slow. The
    // tokens that are saved up by then may be spent, and no more.
    it.run(milliseconds(400), 1);
    const auto sent = it.sent.size();
    CHECK(sent <= enabled_settings().cap + 2);
    it.run(seconds(2), 1);
    CHECK(it.sent.size() == sent);
    CHECK(it.hedger.counters().not_calm > 0);
    // Calm again, and the percentile is that of ordinary openings.
    it.run(seconds(10));
    it.open();
    it.run(milliseconds(300));
    CHECK(it.sent.size() == sent + 1);
}

// Guards against: a balancer that starts together with all others after a loss
// of power hedges the first openings.
TEST_CASE("a balancer sends no hedge in the first five seconds")
{
    hedger_fixture it;
    it.run(seconds(3), 50);
    REQUIRE(it.hedger.delay_of("live").has_value());
    CHECK(it.sent.empty());
    it.run(seconds(4), 50);
    CHECK_FALSE(it.sent.empty());
}

// Guards against: hedging costs something where no operator asked for it, or
// goes on after it was switched off.
TEST_CASE("nothing is kept, measured or sent while hedging is off")
{
    hedger_fixture off(hedging_settings{});
    const auto caller = off.open();
    CHECK_FALSE(off.hedger.is_kept(flow_from_caller(opening_from(caller))));
    off.run(seconds(7), 20);
    CHECK(off.sent.empty());
    CHECK_FALSE(off.hedger.delay_of("live").has_value());

    hedger_fixture it;
    it.settle();
    const auto slow = it.open();
    it.hedger.configure(it.now, hedging_settings{});
    CHECK_FALSE(it.hedger.is_kept(flow_from_caller(opening_from(slow))));
    it.run(seconds(1), 20);
    CHECK(it.sent.empty());
    CHECK_FALSE(it.hedger.delay_of("live").has_value());
}

// Guards against: the delay follows the ordinary openings, so that hedges are
// sent for openings that are not slow.
TEST_CASE("the delay is the percentile of recent openings, at least the floor")
{
    hedging_settings settings = enabled_settings();
    settings.floor = milliseconds(5);
    hedger_fixture it(settings);
    for (std::int64_t n = 1; n <= 1000; ++n)
    {
        const auto caller = it.open();
        it.now += milliseconds(1 + n % 100);
        it.answer(caller);
    }
    CHECK(it.hedger.delay_of("live") == milliseconds(95));
    it.run(seconds(10));
    CHECK(it.hedger.delay_of("live") == milliseconds(5));
}

// Guards against: a request that must not run twice is opened at two servers.
TEST_CASE("an opening of a route that may not be repeated is never hedged")
{
    balancer_with_hedging it;
    it.adopt("orders", false);
    it.open();
    it.advance(milliseconds(400));
    CHECK(it.hedges() == 0);
    it.adopt("orders", true);
    it.open();
    it.advance(milliseconds(400));
    CHECK(it.hedges() == 1);
}

// Guards against: the type of a route is misread, so that bookings are hedged.
TEST_CASE("only idempotent and download routes may be repeated")
{
    const auto may_repeat = [](const std::string& type)
    {
        const auto table = platform::read_configuration(
            R"({"version":1,"routes":[{"name":"a","host":"198.18.0.1",)"
            R"("prefix":"/443/","service":"x")" +
            type + "}]}");
        REQUIRE(table.ok());
        return table->find(route_address)->may_repeat;
    };
    CHECK(may_repeat(R"(,"type":"idempotent")"));
    CHECK(may_repeat(R"(,"type":"download")"));
    CHECK_FALSE(may_repeat(R"(,"type":"non_idempotent")"));
    CHECK_FALSE(may_repeat(R"(,"type":"upload")"));
    CHECK_FALSE(may_repeat(R"(,"type":1)"));
    CHECK_FALSE(may_repeat(""));
}

// Guards against: between the two opening packets the operators remove the
// route, change its type or lead it to another service, and the second packet
// reaches a server that the route does not allow.
TEST_CASE("a hedge is not sent after its route has changed")
{
    balancer_with_hedging it;
    SUBCASE("the route is gone")
    {
        it.open();
        it.remove_route();
        it.advance(milliseconds(400));
        CHECK(it.hedges() == 0);
    }
    SUBCASE("the route leads to another service")
    {
        it.open();
        it.adopt("surveys", true);
        it.advance(milliseconds(400));
        CHECK(it.hedges() == 0);
    }
    SUBCASE("the route may not be repeated any more")
    {
        it.open();
        it.adopt("orders", false);
        it.advance(milliseconds(400));
        CHECK(it.hedges() == 0);
    }
    CHECK(it.core.hedging().no_target == 1);
}

// Guards against: the hedge goes to the agent that already has the packet, or
// the caller's next packets follow a hedge that no server has answered.
TEST_CASE("a hedge goes to the second agent, and packets follow its answer")
{
    balancer_with_hedging it;
    const auto caller = it.open();
    const auto home = it.sent.back().to;
    it.advance(milliseconds(60));
    REQUIRE(it.hedges() == 1);
    const auto second = it.sent.back().to;
    CHECK(second != home);
    SUBCASE("no answer of the second server")
    {
        it.acknowledge(caller);
        CHECK(it.sent.back().to == home);
        CHECK(it.sent.back().label.best_position == packet_label::hedged_mark);
        // A hint that comes after the caller's packet is too late.
        it.hint(caller, second);
        it.acknowledge(caller);
        CHECK(it.sent.back().to == home);
        CHECK(it.sent.back().label.best_position == 0);
    }
    SUBCASE("the second server has answered")
    {
        it.hint(caller, second);
        it.acknowledge(caller);
        CHECK(it.sent.back().to == second);
    }
}

// Guards against: the caller's own copy and a hedge are both sent, so that a
// third server is asked to open the flow.
TEST_CASE("no hedge is sent once the caller has sent a copy itself")
{
    balancer_with_hedging it;
    const auto caller = it.open();
    it.now += milliseconds(10);
    it.copy(caller, 1);
    it.advance(milliseconds(400));
    CHECK(it.hedges() == 0);
}

// Guards against: a copy of the caller reaches the agent that has started the
// hedge, and is dropped there although nothing came of the hedge.
TEST_CASE("the caller's copies after 200 and 600 ms are served beside a hedge")
{
    agent_fixture it;
    it.heartbeat(1);
    it.receive_from_balancer(hedge_of(it, port));
    REQUIRE(it.to_server.size() == 1);
    auto first_copy = it.opening(port, 1);
    first_copy.label.hops = 1;
    auto second_copy = first_copy;
    second_copy.retransmissions = 2;
    SUBCASE("the server has not answered: the copies go on")
    {
        it.advance_time(milliseconds(170));
        it.receive_from_balancer(first_copy);
        CHECK(it.count_labelled(label_kind::offer) == 1);
        it.advance_time(milliseconds(400));
        it.receive_from_balancer(second_copy);
        CHECK(it.to_server.size() + it.count_labelled(label_kind::offer) == 3);
    }
    SUBCASE("the answer was lost: the server gets a copy")
    {
        it.accept_by_server(port, own_sequence);
        it.advance_time(milliseconds(170));
        it.receive_from_balancer(first_copy);
        CHECK(it.to_server.size() == 2);
        it.accept_by_server(port, own_sequence);
        it.receive_from_balancer(data_after(it, own_sequence));
        CHECK(it.to_server.size() == 3);
        CHECK(it.core->flow_count() == 1);
    }
    SUBCASE("the owner is known: the copy goes there")
    {
        it.receive_notice(port, label_kind::owned, 1);
        it.advance_time(milliseconds(170));
        it.receive_from_balancer(first_copy);
        REQUIRE(it.count_labelled(label_kind::relay) == 1);
        CHECK(it.sent.back().to == it.address_of(1));
        CHECK(it.core->flow_count() == 0);
    }
    CHECK(it.core->counters().hedges_started == 1);
    CHECK(it.core->counters().hedges_lost == 1);
    CHECK(it.resets.empty());
}

// Guards against: under load hedges take slots from first opening packets, or
// wait in a queue.
TEST_CASE("a hedge is refused without an idle slot")
{
    agent_fixture it;
    it.heartbeat(1);
    it.receive_from_balancer(it.opening(10));
    it.receive_from_balancer(it.opening(11));
    const auto to_server = it.to_server.size();
    it.receive_from_balancer(hedge_of(it, port));
    CHECK(it.to_server.size() == to_server);
    CHECK(it.sent.empty());
    CHECK(it.resets.empty());
    CHECK(it.core->flow_count() == 2);
    CHECK(it.core->counters().hedges_refused_by_load == 1);
    // A first opening packet is still accepted, beyond the slots.
    it.receive_from_balancer(it.opening(12));
    CHECK(it.to_server.size() == to_server + 1);
}

// Guards against: a draining or silent server gets flows from hedges, or a
// flow that is known gets a second opening packet.
TEST_CASE("a hedge is refused where no flow is taken or the flow is known")
{
    agent_fixture it;
    it.receive_from_balancer(hedge_of(it, port));
    CHECK(it.to_server.empty());
    it.heartbeat(1);
    it.receive_from_balancer(it.opening(port));
    REQUIRE(it.to_server.size() == 1);
    it.receive_from_balancer(hedge_of(it, port));
    CHECK(it.to_server.size() == 1);
    CHECK(it.core->counters().hedges_of_known_flows == 1);
    it.heartbeat(2, true);
    it.receive_from_balancer(hedge_of(it, 8));
    CHECK(it.to_server.size() == 1);
    CHECK(it.core->counters().hedges_refused_by_load == 2);
    CHECK(it.sent.empty());
}

// Guards against: the caller opened the flow elsewhere, and the slot of the
// hedge stays in use.
TEST_CASE("the slot of a losing flow is given back")
{
    agent_fixture it;
    it.heartbeat(1);
    it.receive_from_balancer(hedge_of(it, port));
    it.accept_by_server(port, own_sequence);
    REQUIRE(it.core->admission().busy() == 1);
    SUBCASE("after the time for the answer of a caller")
    {
        it.advance_time(milliseconds(100));
        CHECK(it.core->admission().busy() == 0);
    }
    SUBCASE("at once when the caller acknowledges another server")
    {
        it.receive_from_balancer(data_after(it, other_sequence));
        CHECK(it.core->admission().busy() == 0);
        CHECK(it.core->flow_count() == 0);
        CHECK(it.core->counters().hedges_lost == 1);
    }
}

// Guards against: the first server's slot stays in use after a hedge has won.
TEST_CASE("the first agent gives back its slot when a hedge has won")
{
    agent_fixture it;
    it.heartbeat(1);
    it.receive_from_balancer(it.opening(port));
    REQUIRE(it.core->admission().busy() == 1);
    auto notice = it.data(port, 0);
    notice.label.kind = label_kind::owned;
    SUBCASE("an owner that was not opened by a hedge changes nothing")
    {
        it.core->on_packet(it.now, it.address_of(1), notice);
        CHECK(it.core->admission().busy() == 1);
    }
    SUBCASE("the owner was opened by a hedge")
    {
        notice.label.best_position = packet_label::hedged_mark;
        it.core->on_packet(it.now, it.address_of(1), notice);
        CHECK(it.core->admission().busy() == 0);
    }
}

// Guards against: packets of a flow reach a server that does not hold it,
// because two servers have answered its opening packet.
TEST_CASE(
    "when both servers answer, packets reach the one that is acknowledged")
{
    agent_fixture it;
    it.heartbeat(1);
    it.receive_from_balancer(hedge_of(it, port));
    REQUIRE(it.to_server.size() == 1);
    // The flow may be open elsewhere: nobody but the balancer hears of it.
    CHECK(it.notices.empty());
    it.accept_by_server(port, own_sequence);
    REQUIRE(it.notices.size() == 1);
    CHECK(it.notices.back().label.kind == label_kind::hint);
    CHECK(it.to_caller.size() == 1);
    SUBCASE("the second server wins")
    {
        it.receive_from_balancer(data_after(it, own_sequence));
        CHECK(it.to_server.size() == 2);
        CHECK(it.core->counters().hedges_won == 1);
        CHECK(it.notices.back().label.kind == label_kind::owned);
        CHECK(it.sent.empty());
    }
    SUBCASE("the first server wins and its agent is known")
    {
        it.receive_notice(port, label_kind::owned, 1);
        it.receive_from_balancer(data_after(it, other_sequence));
        CHECK(it.to_server.size() == 1);
        REQUIRE(it.count_labelled(label_kind::relay) == 1);
        CHECK(it.sent.back().to == it.address_of(1));
    }
    SUBCASE("the first server wins and its agent is not known")
    {
        it.receive_from_balancer(data_after(it, other_sequence));
        CHECK(it.to_server.size() == 1);
        CHECK(it.count_labelled(label_kind::locate) == 2);
    }
    SUBCASE("another agent searches for the flow")
    {
        auto packet = data_after(it, other_sequence);
        packet.label.kind = label_kind::locate;
        it.core->on_packet(it.now, it.address_of(1), packet);
        CHECK(it.to_server.size() == 1);
        CHECK(it.notices.back().label.kind == label_kind::unowned);
    }
}

// Guards against: the first server is frozen, the caller has opened the flow at
// the second, and its first packets are lost in the frozen server.
TEST_CASE("a marked packet is not delivered to a server that has not answered")
{
    agent_fixture it;
    it.heartbeat(1);
    it.receive_from_balancer(it.opening(port));
    REQUIRE(it.to_server.size() == 1);
    auto packet = data_after(it, other_sequence);
    SUBCASE("the opening packet was hedged")
    {
        packet.label.best_position = packet_label::hedged_mark;
        it.receive_from_balancer(packet);
        CHECK(it.to_server.size() == 1);
        CHECK(it.count_labelled(label_kind::locate) == 2);
    }
    SUBCASE("without a hedge the packet is delivered as before")
    {
        it.receive_from_balancer(packet);
        CHECK(it.to_server.size() == 2);
    }
}

// Guards against: the server of the losing flow dies, and the caller is reset
// although its flow is open at the other server, or the opening packet of the
// hedge is offered to a third server.
TEST_CASE("the death of the loser's server does not concern the caller")
{
    agent_fixture it;
    it.heartbeat(1);
    it.receive_from_balancer(hedge_of(it, port));
    SUBCASE("it refuses the opening packet")
    {
        it.reset_by_server(port);
    }
    SUBCASE("it returns the opening packet")
    {
        it.return_packet(hedge_of(it, port));
    }
    SUBCASE("it answers, resets and is gone")
    {
        it.accept_by_server(port, own_sequence);
        it.reset_by_server(port);
    }
    SUBCASE("it is gone without a word")
    {
        it.advance_time(milliseconds(20));
        it.core->on_server_not_found(it.now, it.now);
    }
    CHECK(it.core->flow_count() == 0);
    CHECK(it.core->admission().busy() == 0);
    CHECK(it.resets.empty());
    CHECK(it.sent.empty());
    CHECK(it.core->counters().hedges_lost == 1);
}

// Guards against: the packet header carries a hedge or its marks as something
// else, so that agents refuse every hedge, as those of an older build do.
TEST_CASE("the packet header carries hedges and their marks")
{
    const byte_buffer opening(platform::header_bytes, 0);
    auto packet = platform::read_packet(opening);
    REQUIRE(packet.ok());
    packet_label label;
    for (const auto kind :
         {label_kind::hedge, label_kind::forward, label_kind::hint})
    {
        label.kind = kind;
        label.best_position = packet_label::hedged_mark;
        label.waited_ms = 40;
        byte_buffer bytes;
        platform::write_packet(*packet, label, bytes);
        const auto read = platform::read_packet(bytes);
        REQUIRE(read.ok());
        CHECK(read->label.kind == kind);
        CHECK(read->label.best_position == packet_label::hedged_mark);
    }
}

TEST_CASE("hedging settings are read, with comments and defaults")
{
    const auto read = parse_hedging_settings(R"({
        "enabled": true, // on
        "share": 0.05, "cap": 20, "percentile": 99.5, "floor_ms": 40})",
                                             "h.json");
    REQUIRE(read.ok());
    CHECK(read->enabled);
    CHECK(read->share == 0.05);
    CHECK(read->cap == 20);
    CHECK(read->percentile == 99.5);
    CHECK(read->floor == milliseconds(40));
    const auto defaults = parse_hedging_settings(R"({"enabled": false})", "h");
    REQUIRE(defaults.ok());
    CHECK(*defaults == hedging_settings{});
    const auto example = load_hedging_settings(
        std::string(BRIARDRUM_SOURCE_DIR) + "/deploy/hedging.example.json");
    REQUIRE_MESSAGE(example.ok(), std::string(example.status().message()));
    CHECK(*example == enabled_settings());
}

// Guards against: a misspelt or absurd value is taken silently, and operators
// pay for work that they did not allow.
TEST_CASE("an error of hedging settings names file, field, value and range")
{
    CHECK(error_of(R"({"enabled": true, "share": 0.3})") ==
          "h.json: share: found 0.3; allowed: a number from 0.0 to 0.2");
    CHECK(error_of(R"({"enabled": true, "share": -0.1})") ==
          "h.json: share: found -0.1; allowed: a number from 0.0 to 0.2");
    CHECK(error_of(R"({"enabled": true, "percentile": 100})") ==
          "h.json: percentile: found 100; allowed: a number from 50.0 to 99.9");
    CHECK(error_of(R"({"enabled": true, "percentile": "95"})") ==
          "h.json: percentile: found \"95\"; allowed: a number from 50.0 to "
          "99.9");
    CHECK(error_of(R"({"enabled": true, "cap": 0})") ==
          "h.json: cap: found 0; allowed: a whole number from 1 to 1000");
    CHECK(error_of(R"({"enabled": true, "floor_ms": 401})") ==
          "h.json: floor_ms: found 401; allowed: a whole number from 5 to 400");
    CHECK(error_of(R"({"enabled": 1})") ==
          "h.json: enabled: found 1; allowed: true or false");
    CHECK(error_of("{}") ==
          "h.json: enabled: found nothing; allowed: true or false");
    CHECK(error_of(R"({"enabled": true, "shared": 0.1})") ==
          "h.json: shared: found an unknown field; allowed: cap, enabled, "
          "floor_ms, percentile, share");
    CHECK(error_of(R"({"enabled": true, "enabled": false})") ==
          "h.json: enabled: found the field twice; allowed: each field only "
          "once");
    const auto missing = load_hedging_settings("/nonexistent/h.json");
    CHECK_FALSE(missing.ok());
}

// Guards against: under load, with lost packets, frozen, lost and restarted
// servers and restarted agents, hedges break what holds without them: a packet
// at a server of another service, a reset of a flow that its server holds, or a
// request that runs twice though it must not.
TEST_CASE("hedges break no rule of flows under load and failures")
{
    std::uint64_t won = 0;
    std::uint64_t lost = 0;
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        rig::packet_load lookup;
        lookup.name = "lookup";
        lookup.route = route_address;
        lookup.service_name = "orders";
        lookup.per_second = 500;
        auto order = lookup;
        order.name = "order";
        order.route.port = 8080;
        order.per_second = 100;
        order.repeatable = false;
        auto photo = lookup;
        photo.name = "photo";
        photo.route.address += 1;
        photo.service_name = "surveys";
        photo.per_second = 150;
        rig::packet_fleet_settings settings;
        settings.seed = seed;
        settings.balancers = 3;
        settings.services = {{"orders", 7, 5}, {"surveys", 3, 5}};
        settings.loads = {lookup, order, photo};
        settings.loss = 0.01;
        settings.hedging = enabled_settings();
        settings.hedging.share = 0.2;
        // As early as possible, so that both servers often answer.
        settings.hedging.percentile = 50;
        settings.hedging.floor = milliseconds(5);
        rig::packet_fleet fleet(settings);
        fleet.run_until(seconds(1));
        fleet.start_load();
        fleet.run_until(seconds(8));
        fleet.freeze_server(0, milliseconds(700));
        fleet.freeze_server(7, milliseconds(300));
        fleet.run_until(seconds(10));
        fleet.lose_server(1);
        fleet.restart_agent(2);
        fleet.run_until(seconds(12));
        fleet.start_server(1);
        fleet.stop_balancer(1);
        fleet.run_until(seconds(13));
        fleet.start_balancer(1);
        fleet.freeze_server(3, seconds(4));
        fleet.run_until(seconds(20));
        CHECK(fleet.caller().tally("order").doubled == 0);
        CHECK(fleet.misrouted() == 0);
        CHECK(fleet.broken_flows() == 0);
        won += fleet.hedges().won;
        lost += fleet.hedges().lost;
    }
    // Both outcomes were exercised.
    CHECK(won > 0);
    CHECK(lost > 0);
}
