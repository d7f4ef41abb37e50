#include "tests/fakes/balancer_fixture.hpp"

#include <algorithm>

namespace briardrum::tests
{

namespace
{

constexpr std::uint32_t caller_address = 0xc0000201;

} // namespace

balancer_fixture::balancer_fixture()
{
    balancer_hooks hooks;
    hooks.send_envelope = [this](const endpoint& to, const envelope& message)
    {
        sent.push_back({to, message, to_buffer(message.datagram)});
    };
    hooks.send_to_caller = [this](const caller_packet& packet)
    {
        answered.push_back(packet);
    };
    hooks.events = [this](const event& emitted)
    {
        ++events[std::string(emitted.name())];
    };
    core = std::make_unique<balancer_core>(
        make_balancer(1), std::vector<endpoint>{}, membership_settings{},
        std::move(hooks), 1);
    config.version = 1;
    config.in_force = "ordinary";
    config.presets["ordinary"].name = "ordinary";
}

auto balancer_fixture::add_service(const std::string& name,
                                   service_policy policy) -> void
{
    const auto id = config.next_service_id++;
    service item;
    item.id = id;
    item.name = name;
    item.address = {0xcb007100 + id, 5683};
    config.services[name] = item;
    config.presets["ordinary"].policies[name] = policy;
}

auto balancer_fixture::adopt_configuration() -> void
{
    core->adopt(now, std::make_shared<const configuration>(config));
    ++config.version;
}

auto balancer_fixture::deliver_gossip(const member_record& record) -> void
{
    control_message message;
    message.from = 1;
    message.from_incarnation = 1;
    message.body = gossip_message{{record}, false};
    core->on_control(now, message);
}

auto balancer_fixture::packet(const std::string& name, std::uint16_t port)
    -> void
{
    core->on_packet(now, {{caller_address, port},
                          config.services.at(name).address,
                          as_bytes("datagram " + name)});
}

auto balancer_fixture::serve(std::size_t budget) -> std::size_t
{
    return core->serve(now, budget);
}

auto balancer_fixture::target_of(const std::string& name, std::uint16_t port)
    -> member_id
{
    const auto before = sent.size();
    packet(name, port);
    serve();
    return sent.size() == before ? 0 : sent.back().message.target;
}

auto balancer_fixture::answer(const std::string& name, std::uint16_t port,
                              member_id from_agent) -> void
{
    const auto& item = config.services.at(name);
    envelope message;
    message.kind = envelope_kind::answer;
    message.service = item.id;
    message.caller = {caller_address, port};
    message.service_address = item.address;
    message.from_agent = from_agent;
    message.saturation = 40;
    core->on_envelope(now, message);
}

auto balancer_fixture::counter(std::string_view name, std::string_view service)
    -> std::uint64_t
{
    std::uint64_t found = 0;
    core->visit_counters(
        [&](std::string_view counter_name, std::string_view counter_service,
            std::uint64_t value)
        {
            if (counter_name == name && counter_service == service)
            {
                found = value;
            }
        });
    return found;
}

auto balancer_fixture::sent_to(const std::string& name) const -> std::size_t
{
    const auto id = config.services.at(name).id;
    return static_cast<std::size_t>(
        std::count_if(sent.begin(), sent.end(),
                      [&](const sent_envelope& item)
                      {
                          return item.message.service == id;
                      }));
}

} // namespace briardrum::tests
