#include "tests/fakes/agent_fixture.hpp"

namespace briardrum::tests
{

namespace
{

constexpr endpoint route_address{0xc6120001, 443};
constexpr endpoint balancer_address{0x0a000001, 8000};
constexpr std::uint32_t caller_address = 0x64400001;

auto agent_record(std::size_t index) -> member_record
{
    member_record out;
    out.name = "agent-" + std::to_string(index);
    out.id = member_id_of(out.name);
    out.incarnation = 1;
    out.kind = member_kind::agent;
    out.state = member_state::ready;
    out.data_centre = "dc";
    const auto address = 0x0a010000 + static_cast<std::uint32_t>(index);
    out.data_address = {address, 8000};
    out.control_address = {address, 7000};
    out.service_name = "orders";
    out.slots = 2;
    return out;
}

} // namespace

agent_fixture::agent_fixture(std::size_t others, packet_agent_settings settings)
{
    // The other agents are silent; the view must not take that for isolation.
    membership_settings view;
    view.probe_interval = minutes(10);
    membership_hooks view_hooks;
    view_hooks.heard_of_departed = [this](millis at, const member_record& it)
    {
        core->on_member_departed(at, it);
    };
    members =
        std::make_unique<member_view>(agent_record(0), std::vector<endpoint>{},
                                      view, std::move(view_hooks), 1);
    for (std::size_t n = 1; n <= others; ++n)
    {
        announce(agent_record(n));
    }
    packet_hooks hooks;
    hooks.send_labelled = [this](const endpoint& to, const flow_packet& packet,
                                 const packet_label& label)
    {
        sent.push_back({to, packet, label});
    };
    hooks.send_notice = [this](const endpoint& to, const endpoint& caller,
                               const endpoint& route, const packet_label& label)
    {
        flow_packet packet;
        packet.source = caller;
        packet.destination = route;
        notices.push_back({to, packet, label});
    };
    hooks.send_to_server = [this](const flow_packet& packet)
    {
        to_server.push_back(packet);
    };
    hooks.send_to_caller = [this](const flow_packet& packet)
    {
        to_caller.push_back(packet);
    };
    hooks.send_reset =
        [this](const endpoint&, const endpoint& caller, std::uint32_t)
    {
        resets.push_back(caller);
    };
    hooks.send_control =
        [this](const endpoint& to, const control_message& message)
    {
        controls.push_back({to, message});
    };
    hooks.look_for_server = [this](millis)
    {
        ++server_checks;
    };
    hooks.events = [this](const event& value)
    {
        events.push_back(value.line());
    };
    settings.service_name = "orders";
    core = std::make_unique<packet_agent>(*members, settings, std::move(hooks),
                                          now);
}

auto agent_fixture::heartbeat(std::uint64_t sequence, bool draining)
    -> heartbeat_outcome
{
    server_heartbeat it;
    it.server_id = "server";
    it.service_name = "orders";
    it.slots = 2;
    it.draining = draining;
    it.sequence = sequence;
    it.started_at = seconds(1);
    return core->on_heartbeat(now, it);
}

auto agent_fixture::start_server() -> heartbeat_outcome
{
    core->on_server_not_found(now, now);
    return heartbeat(1);
}

auto agent_fixture::address_of(std::size_t other) const -> endpoint
{
    return agent_record(other).data_address;
}

auto agent_fixture::opening(std::uint16_t port, std::uint8_t copies) const
    -> flow_packet
{
    flow_packet out;
    out.source = {caller_address, port};
    out.destination = route_address;
    out.opens = true;
    out.retransmissions = copies;
    out.label.kind = label_kind::forward;
    out.label.service = service_tag_of("orders");
    // With all hops used, the agent must start, queue or refuse the flow.
    out.label.hops = packet_label::hops_max;
    return out;
}

auto agent_fixture::data(std::uint16_t port, std::uint16_t payload)
    -> flow_packet
{
    auto out = opening(port);
    out.opens = false;
    out.acknowledges = true;
    out.payload_bytes = payload;
    out.sequence = data_sent[port];
    data_sent[port] += payload;
    out.label.hops = 0;
    return out;
}

auto agent_fixture::receive_from_balancer(const flow_packet& packet) -> void
{
    core->on_packet(now, balancer_address, packet);
}

auto agent_fixture::server_packet(std::uint16_t port) const -> flow_packet
{
    flow_packet out;
    out.source = route_address;
    out.destination = {caller_address, port};
    return out;
}

auto agent_fixture::answer_by_server(std::uint16_t port, bool opens,
                                     std::uint16_t payload) -> void
{
    auto out = server_packet(port);
    out.opens = opens;
    out.acknowledges = true;
    out.payload_bytes = payload;
    core->on_server_packet(now, out);
}

auto agent_fixture::accept_by_server(std::uint16_t port, std::uint32_t sequence)
    -> void
{
    auto out = server_packet(port);
    out.opens = true;
    out.acknowledges = true;
    out.sequence = sequence;
    core->on_server_packet(now, out);
}

auto agent_fixture::reset_by_server(std::uint16_t port) -> void
{
    auto out = server_packet(port);
    out.resets = true;
    core->on_server_packet(now, out);
}

auto agent_fixture::return_packet(const flow_packet& packet) -> void
{
    auto out = packet;
    out.returned = true;
    out.label = {};
    core->on_server_packet(now, out);
}

auto agent_fixture::open_flow(std::uint16_t port) -> void
{
    receive_from_balancer(opening(port));
    answer_by_server(port, true, 0);
    receive_from_balancer(data(port, 0));
}

auto agent_fixture::receive_notice(std::uint16_t port, label_kind kind,
                                   std::size_t other) -> void
{
    auto packet = data(port, 0);
    packet.label.kind = kind;
    core->on_packet(now, address_of(other), packet);
}

auto agent_fixture::record_of(std::size_t other) const -> member_record
{
    return agent_record(other);
}

auto agent_fixture::announce(const member_record& record) -> void
{
    control_message message;
    message.from = record.id;
    message.from_incarnation = record.incarnation;
    message.body = gossip_message{{record}, false};
    members->on_control(now, message);
}

auto agent_fixture::queries_to(std::size_t other) const
    -> std::vector<flow_query_message>
{
    std::vector<flow_query_message> out;
    for (const auto& it : controls)
    {
        const auto* query = std::get_if<flow_query_message>(&it.message.body);
        if (query != nullptr && it.to == agent_record(other).control_address)
        {
            out.push_back(*query);
        }
    }
    return out;
}

auto agent_fixture::deny_queries(std::size_t other) -> void
{
    const auto queries = queries_to(other);
    if (!queries.empty())
    {
        const auto& last = queries.back();
        reply(other,
              {last.sequence, members->members_digest(), {}, last.flows, {}});
    }
}

auto agent_fixture::reply(std::size_t other, flow_reply_message message) -> void
{
    core->on_control(now, {agent_record(other).id, 1, std::move(message)});
}

auto agent_fixture::advance_time(millis span) -> void
{
    constexpr auto step = milliseconds(20);
    const auto end = now + span;
    while (now < end)
    {
        now += step;
        core->tick(now);
    }
}

auto agent_fixture::count_labelled(label_kind kind) const -> std::size_t
{
    std::size_t out = 0;
    for (const auto& it : sent)
    {
        out += it.label.kind == kind ? 1 : 0;
    }
    return out;
}

} // namespace briardrum::tests
