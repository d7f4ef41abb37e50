#include "node/agent/agent_context.hpp"

#include <utility>

namespace briardrum
{

agent_context::agent_context(const member_record& self,
                             std::vector<endpoint> start_addresses,
                             membership_settings settings, agent_hooks hooks_in,
                             std::uint64_t seed)
    : hooks(std::move(hooks_in)),
      members(self, std::move(start_addresses), settings,
              {hooks.send_control, {}, hooks.events}, seed),
      initial_incarnation(members.self().incarnation), signer({})
{
}

auto agent_context::own_service() const -> const service*
{
    return config == nullptr ? nullptr
                             : config->find(members.self().service_name);
}

auto agent_context::accepts_new_flows() const -> bool
{
    return members.self().state == member_state::ready;
}

auto agent_context::forward_to_agent(const envelope& message, member_id to,
                                     bool placed) -> bool
{
    const auto* record = members.find(to);
    if (record == nullptr || message.hops >= hop_limit)
    {
        counters.add(record == nullptr ? agent_counter::dropped
                                       : agent_counter::hop_limit_reached);
        return false;
    }
    // The caller forwards a flow to an agent of another service.
    BRIARDRUM_INVARIANT(record->service_name == members.self().service_name);
    auto next = message;
    next.target = to;
    next.target_incarnation = record->incarnation;
    next.from_agent = members.self().id;
    next.hops = static_cast<std::uint8_t>(message.hops + 1);
    next.placed = placed;
    hooks.send_envelope(record->data_address, next);
    counters.add(agent_counter::flows_passed_on);
    return true;
}

auto agent_context::send_to_caller(const flow_key& flow, byte_view datagram)
    -> void
{
    const auto* own = own_service();
    const auto* balancer = choose_balancer(flow);
    if (own == nullptr || balancer == nullptr)
    {
        counters.add(agent_counter::dropped);
        return;
    }
    // The caller answers a flow of a service other than the one that the
    // backend server announced.
    BRIARDRUM_INVARIANT(own->id == flow.service);
    envelope out;
    out.kind = envelope_kind::answer;
    out.service = flow.service;
    out.target = balancer->id;
    out.target_incarnation = balancer->incarnation;
    out.caller = flow.caller;
    out.service_address = own->address;
    out.balancer = balancer->id;
    out.from_agent = members.self().id;
    out.saturation = saturation;
    out.version = config->version;
    out.datagram = datagram;
    hooks.send_envelope(balancer->data_address, out);
}

auto agent_context::send_control(member_id to, control_body body) -> void
{
    const auto* record = members.find(to);
    if (record == nullptr)
    {
        return;
    }
    const auto& self = members.self();
    hooks.send_control(record->control_address,
                       {self.id, self.incarnation, std::move(body)});
}

auto agent_context::emit(const event& item) const -> void
{
    if (hooks.events)
    {
        hooks.events(item);
    }
}

auto agent_context::trace(std::string_view name, const flow_key& flow,
                          std::string_view key, std::uint64_t value) const
    -> void
{
    if (hooks.events)
    {
        hooks.events(event(name, event_level::debug)
                         .with("flow", to_string(flow))
                         .with(key, value));
    }
}

auto agent_context::choose_balancer(const flow_key& flow) const
    -> const member_record*
{
    const auto* row = flows.find(flow);
    const auto* last = row == nullptr ? nullptr : members.find(row->balancer);
    const auto serves = [](const member_record* record)
    {
        return record != nullptr && record->state < member_state::left &&
               record->state != member_state::draining;
    };
    if (serves(last))
    {
        return last;
    }
    const auto live = members.balancers();
    const auto first = std::hash<flow_key>{}(flow);
    for (std::size_t n = 0; n < live.size(); ++n)
    {
        const auto* other = members.find(live[(first + n) % live.size()]);
        if (serves(other))
        {
            return other;
        }
    }
    // A draining balancer still forwards, so it is used as a last resort.
    return last != nullptr && last->state == member_state::draining ? last
                                                                    : nullptr;
}

} // namespace briardrum
