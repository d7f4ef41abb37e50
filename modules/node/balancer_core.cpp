#include "node/balancer_core.hpp"
#include "routing/routing.hpp"
namespace briardrum
{
struct balancer_core::state
{
    balancer_hooks hooks;
    member_view members;
    std::shared_ptr<const configuration> config;
    table<flow_key, member_id> hints;
};
balancer_core::balancer_core(member_record self, std::vector<endpoint> starts,
                             membership_settings settings, balancer_hooks hooks,
                             std::uint64_t seed)
    : state_(
          new state{hooks,
                    member_view(self, starts, settings,
                                {hooks.send_control, {}, hooks.events}, seed),
                    {},
                    {}})
{
}
balancer_core::~balancer_core() = default;
auto balancer_core::adopt(millis, std::shared_ptr<const configuration> next)
    -> bool
{
    state_->config = next;
    return true;
}
auto balancer_core::on_packet(millis, const caller_packet& packet) -> void
{
    const auto* s = state_->config->find(packet.service_address);
    if (!s)
        return;
    flow_key flow{packet.caller, s->id};
    std::vector<candidate> c;
    for (auto id : state_->members.agents_of(s->name))
    {
        const auto* r = state_->members.find(id);
        if (r->state == member_state::ready ||
            r->state == member_state::suspect)
            c.push_back({id, r->slots});
    }
    member_id to = rendezvous_first(flow, c);
    if (auto* h = state_->hints.find(flow))
    {
        const auto* r = state_->members.find(*h);
        if (r && r->state < member_state::left)
            to = *h;
    }
    const auto* r = state_->members.find(to);
    if (!r)
        return;
    envelope e;
    e.service = s->id;
    e.target = to;
    e.target_incarnation = r->life;
    e.caller = packet.caller;
    e.service_address = packet.service_address;
    e.balancer = state_->members.self().id;
    e.version = state_->config->version;
    e.datagram = packet.datagram;
    state_->hooks.send_envelope(r->data_address, e);
}
auto balancer_core::serve(millis, std::size_t) -> std::size_t
{
    return 0;
}
auto balancer_core::on_envelope(millis, const envelope& m) -> void
{
    state_->hints.insert({m.caller, m.service}) = m.from_agent;
    state_->hooks.send_to_caller({m.caller, m.service_address, m.datagram});
}
auto balancer_core::on_control(millis now, const control_message& m) -> void
{
    state_->members.on_control(now, m);
}
auto balancer_core::tick(millis now) -> void
{
    state_->members.tick(now);
}
auto balancer_core::leave(millis now) -> void
{
    state_->members.set_state(now, member_state::draining);
}
auto balancer_core::members() -> member_view&
{
    return state_->members;
}
auto balancer_core::has_configuration() const -> bool
{
    return bool(state_->config);
}
auto balancer_core::visit_counters(
    const std::function<void(std::string_view, std::string_view,
                             std::uint64_t)>&) const -> void
{
}
} // namespace briardrum
