#include "packets/packets.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <memory>

using namespace briardrum;

namespace
{

constexpr endpoint route_address{0xc6120001, 443};
constexpr std::uint32_t caller_address = 0x64400001;
constexpr std::uint32_t agents = 5;

auto record_of(std::uint32_t number, member_kind kind) -> member_record
{
    member_record out;
    out.name = "member-" + std::to_string(number);
    out.id = member_id_of(out.name);
    out.incarnation = 1;
    out.kind = kind;
    out.state = member_state::ready;
    out.data_centre = "dc";
    out.data_address = {0x0a010000 + number, 8000};
    out.control_address = {0x0a010000 + number, 7000};
    out.service_name = kind == member_kind::agent ? "orders" : "";
    return out;
}

// A balancer for five agents of one service, with a record of the destinations
// of its packets.
struct packet_balancer_fixture
{
    packet_balancer_fixture()
        : members(record_of(0, member_kind::balancer), {}, {}, {}, 1),
          core(members, make_hooks())
    {
        for (std::uint32_t n = 1; n <= agents; ++n)
        {
            receive_gossip(record_of(n, member_kind::agent));
        }
        auto routes = std::make_shared<route_table>();
        routes->version = 1;
        routes->routes[route_address] = {{{"orders", 1}}, 0};
        core.adopt(now, std::move(routes));
    }

    auto make_hooks() -> packet_hooks
    {
        packet_hooks out;
        out.send_labelled =
            [this](const endpoint& to, const flow_packet&, const packet_label&)
        {
            sent.push_back(to);
        };
        out.send_reset = [this](const endpoint&, const endpoint&, std::uint32_t)
        {
            ++resets;
        };
        out.opening_unanswered = [this](millis, member_id agent)
        {
            unanswered_agents.push_back(agent);
        };
        return out;
    }

    auto receive_gossip(const member_record& record) -> void
    {
        control_message message;
        message.from = record.id;
        message.from_incarnation = 1;
        message.body = gossip_message{{record}, false};
        members.on_control(now, message);
    }

    auto change_all(member_state state) -> void
    {
        for (std::uint32_t n = 1; n <= agents; ++n)
        {
            auto record = record_of(n, member_kind::agent);
            record.version = ++last_version;
            record.state = state;
            receive_gossip(record);
        }
    }

    // Sends an opening packet after this many retransmissions and returns its
    // destination.
    auto open(std::uint16_t port, std::uint8_t copies) -> endpoint
    {
        flow_packet packet;
        packet.source = {caller_address, port};
        packet.destination = route_address;
        packet.opens = true;
        packet.retransmissions = copies;
        core.on_caller_packet(now, packet);
        return sent.empty() ? endpoint{} : sent.back();
    }

    auto send_acknowledgement(std::uint16_t port) -> endpoint
    {
        flow_packet packet;
        packet.source = {caller_address, port};
        packet.destination = route_address;
        packet.acknowledges = true;
        core.on_caller_packet(now, packet);
        return sent.back();
    }

    auto suspect(const endpoint& agent) -> void
    {
        for (std::uint32_t n = 1; n <= agents; ++n)
        {
            auto record = record_of(n, member_kind::agent);
            if (record.data_address == agent)
            {
                record.state = member_state::suspect;
                auto from = record_of(1 + n % agents, member_kind::agent);
                control_message message;
                message.from = from.id;
                message.from_incarnation = 1;
                message.body = gossip_message{{record}, false};
                members.on_control(now, message);
            }
        }
    }

    millis now = seconds(100);
    member_view members;
    packet_balancer core;
    std::vector<endpoint> sent;
    std::vector<member_id> unanswered_agents;
    std::uint32_t last_version = 10;
    int resets = 0;
};

} // namespace

// An agent fails without announcing it. Callers retransmit, and the flows that
// retransmissions open must not depend on the failed home agent.
TEST_CASE(
    "a flow follows its retransmitted opening packet, not the silent home")
{
    packet_balancer_fixture it;
    for (std::uint16_t port = 1; port <= 50; ++port)
    {
        const auto home = it.open(port, 0);
        const auto other = it.open(port, 1);
        REQUIRE(other != home);
        CHECK(it.send_acknowledgement(port) == other);
        REQUIRE(it.unanswered_agents.size() == port);
        CHECK(it.members.find(it.unanswered_agents.back())->data_address ==
              home);
    }
}

TEST_CASE("packets of open flows skip a suspect home agent")
{
    packet_balancer_fixture it;
    const auto home = it.open(7, 0);
    CHECK(it.send_acknowledgement(7) == home);
    const auto next = it.open(7, 1);
    it.suspect(home);
    // A second balancer has no hint from the retransmission.
    packet_balancer_fixture fresh;
    fresh.suspect(home);
    CHECK(fresh.send_acknowledgement(7) == next);
}

// Guards against: the weights of a route change, every process is restarted in
// turn, and packets of open flows reach servers of the route's other service
// and never their own.
TEST_CASE("a balancer that has just started sends packets of open flows to "
          "every service of their route")
{
    packet_balancer_fixture it;
    auto other = record_of(agents + 1, member_kind::agent);
    other.service_name = "surveys";
    it.receive_gossip(other);
    packet_balancer restarted(it.members, it.make_hooks());
    const auto adopt =
        [&](configuration_version version, std::vector<route_target> targets)
    {
        auto routes = std::make_shared<route_table>();
        routes->version = version;
        routes->routes[route_address] = {std::move(targets), 0};
        restarted.adopt(it.now, std::move(routes));
    };
    const auto reaches_both = [&](std::uint16_t port)
    {
        it.sent.clear();
        flow_packet packet;
        packet.source = {caller_address, port};
        packet.destination = route_address;
        packet.acknowledges = true;
        restarted.on_caller_packet(it.now, packet);
        const auto to_other =
            std::count(it.sent.begin(), it.sent.end(), other.data_address);
        return it.sent.size() == 2 && to_other == 1;
    };
    adopt(1, {{"orders", 9}, {"surveys", 1}});
    for (std::uint16_t port = 1; port <= 50; ++port)
    {
        CHECK(reaches_both(port));
    }
    // Each service gets a packet once, however often the weights change.
    adopt(2, {{"orders", 1}, {"surveys", 9}});
    adopt(3, {{"orders", 5}, {"surveys", 5}});
    CHECK(reaches_both(1));
    // No flow is older than this.
    it.now = it.now + packet_balancer::former_service_time;
    CHECK_FALSE(reaches_both(1));
}

TEST_CASE("packets of a flow follow its opening packet when members change")
{
    packet_balancer_fixture it;
    constexpr std::uint16_t flows = 50;
    std::vector<endpoint> opened_at;
    for (std::uint16_t port = 1; port <= flows; ++port)
    {
        opened_at.push_back(it.open(port, 0));
    }
    for (std::uint32_t n = agents + 1; n <= agents * 4; ++n)
    {
        it.receive_gossip(record_of(n, member_kind::agent));
    }
    for (std::uint16_t port = 1; port <= flows; ++port)
    {
        CHECK(it.send_acknowledgement(port) == opened_at[port - 1U]);
    }
}

// Guards against: with all data centres evacuated, callers wait until they give
// up; the fabric stops sending, since no balancer is ready; and packets of open
// flows are dropped.
TEST_CASE("evacuation of every server: openings are refused, open flows served")
{
    packet_balancer_fixture it;
    it.change_all(member_state::draining);
    it.open(1, 0);
    CHECK(it.resets == 0);
    CHECK_FALSE(it.core.is_ready());
    it.core.set_evacuating(true);
    it.open(2, 0);
    CHECK(it.resets == 1);
    // The first copy may have opened the flow.
    it.open(3, 1);
    CHECK(it.resets == 1);
    CHECK(it.core.is_ready());
    REQUIRE(it.sent.empty());
    const auto to = it.send_acknowledgement(4);
    CHECK(it.sent.size() == 1);
    CHECK(it.send_acknowledgement(4) == to);
    // An agent that is joining may take flows shortly.
    auto joining = record_of(1, member_kind::agent);
    joining.version = ++it.last_version;
    joining.state = member_state::joining;
    it.receive_gossip(joining);
    it.open(5, 0);
    CHECK(it.resets == 1);
    it.core.set_evacuating(false);
    it.change_all(member_state::ready);
    it.open(6, 0);
    CHECK(it.sent.size() == 3);
}
