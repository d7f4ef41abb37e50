#include "packets/balancer/packet_balancer.hpp"

#include <algorithm>
#include <utility>

namespace briardrum
{

packet_balancer::packet_balancer(const member_view& members, packet_hooks hooks)
    : members_(members), hooks_(std::move(hooks)), hints_(hint_places)
{
}

auto packet_balancer::adopt(millis now, std::shared_ptr<const route_table> next)
    -> bool
{
    if (next == nullptr || next->version <= version())
    {
        return false;
    }
    if (hooks_.events)
    {
        hooks_.events(event("configuration_adopted")
                          .with("version", next->version)
                          .with("was", version())
                          .with("routes", std::uint64_t{next->routes.size()}));
    }
    remember_former(now, *next);
    routes_ = std::move(next);
    return true;
}

// Open flows stay with the service that they were opened at.
auto packet_balancer::remember_former(millis now, const route_table& next)
    -> void
{
    std::erase_if(former_,
                  [&](const auto& item)
                  {
                      return next.find(item.first) == nullptr;
                  });
    if (routes_ == nullptr)
    {
        return;
    }
    for (const auto& [address, old] : routes_->routes)
    {
        const auto* now_there = next.find(address);
        if (now_there == nullptr || *now_there == old)
        {
            continue;
        }
        auto& list = former_[address];
        std::erase_if(list,
                      [&](const former_target& it)
                      {
                          return it.until <= now;
                      });
        for (const auto& target : old.targets)
        {
            list.push_back({target.service_name, now + former_service_time});
        }
    }
}

auto packet_balancer::targets_of(const std::string& service_name)
    -> const service_targets&
{
    auto& out = targets_[service_name];
    out.refresh(members_, service_name);
    return out;
}

auto packet_balancer::on_caller_packet(millis now, const flow_packet& packet)
    -> void
{
    if (routes_ == nullptr)
    {
        ++tallies_.no_configuration;
        return;
    }
    const auto* found = routes_->find(packet.destination);
    if (found == nullptr)
    {
        refuse_unknown_route(packet);
        return;
    }
    const auto flow = flow_from_caller(packet);
    if (packet.opens)
    {
        place(now, packet, *found, flow);
    }
    else
    {
        forward_open_flow(now, packet, *found, flow);
    }
}

// A later copy of an opening packet starts its search at another agent, for
// the home may be unreachable. What the copy opens must not depend on the home
// either: the agent that the copy went to owns the flow or is told who does.
auto packet_balancer::place(millis now, const flow_packet& packet,
                            const route& found, const flow_key& flow) -> void
{
    ++tallies_.opened;
    const auto& service_name = found.service_of(flow);
    const auto& targets = targets_of(service_name);
    const auto* target = targets.placement_target(flow, packet.copies_before);
    if (target == nullptr)
    {
        ++tallies_.no_agent;
        return;
    }
    send(target->address, packet, found, service_name);
    if (packet.copies_before > 0)
    {
        hints_.learn(flow, target->id);
        doubt_earlier_agent(now, targets, packet, flow);
    }
    if (hooks_.events)
    {
        hooks_.events(event("flow_placed")
                          .with("flow", to_string(flow.caller))
                          .with("service", service_name)
                          .with("agent", to_string(target->address))
                          .with("copies", std::uint64_t{packet.copies_before})
                          .with("version", version()));
    }
}

// The copy says that the agent of the packet before it has not answered.
auto packet_balancer::doubt_earlier_agent(millis now,
                                          const service_targets& targets,
                                          const flow_packet& packet,
                                          const flow_key& flow) -> void
{
    const auto* earlier =
        targets.placement_target(flow, std::size_t{packet.copies_before} - 1);
    if (earlier != nullptr && hooks_.doubt)
    {
        hooks_.doubt(now, earlier->id);
    }
}

auto packet_balancer::forward_open_flow(millis now, const flow_packet& packet,
                                        const route& found,
                                        const flow_key& flow) -> void
{
    if (forward_to_hint(packet, found, flow))
    {
        return;
    }
    const auto& current = found.service_of(flow);
    send_to_home(packet, found, current, flow);
    const auto it = former_.find(packet.destination);
    if (it == former_.end())
    {
        return;
    }
    for (const auto& item : it->second)
    {
        if (item.until > now && item.service_name != current)
        {
            ++tallies_.to_former_service;
            send_to_home(packet, found, item.service_name, flow);
        }
    }
}

auto packet_balancer::forward_to_hint(const flow_packet& packet,
                                      const route& found, const flow_key& flow)
    -> bool
{
    const auto id = hints_.find(flow);
    const auto* record = id == 0 ? nullptr : members_.find(id);
    if (record == nullptr || !is_live(record->state))
    {
        return false;
    }
    ++tallies_.by_hint;
    send(record->data_address, packet, found, record->service_name);
    return true;
}

auto packet_balancer::send_to_home(const flow_packet& packet,
                                   const route& found,
                                   const std::string& service_name,
                                   const flow_key& flow) -> void
{
    // A suspect home is passed over; owners tell the next of the order as well.
    const auto* home = targets_of(service_name).placement_target(flow, 0);
    if (home == nullptr)
    {
        ++tallies_.no_agent;
        return;
    }
    ++tallies_.by_home;
    send(home->address, packet, found, service_name);
}

auto packet_balancer::send(const endpoint& to, const flow_packet& packet,
                           const route& found, const std::string& service_name)
    -> void
{
    packet_label label;
    label.kind = label_kind::forward;
    label.urgency =
        std::min<std::uint8_t>(found.urgency, packet_label::hops_max);
    label.service = service_tag_of(service_name);
    label.hops = std::min(packet.copies_before, packet_label::hops_max);
    hooks_.send_labelled(to, packet, label);
}

auto packet_balancer::refuse_unknown_route(const flow_packet& packet) -> void
{
    ++tallies_.no_route;
    if (!packet.opens)
    {
        return;
    }
    hooks_.send_reset(packet.destination, packet.source, 0);
    if (hooks_.events)
    {
        hooks_.events(event("flow_refused")
                          .with("flow", to_string(packet.source))
                          .with("route", to_string(packet.destination))
                          .with("reason", "no_route")
                          .with("version", version()));
    }
}

auto packet_balancer::on_hint(const flow_packet& notice) -> void
{
    for (const auto& record : members_.records())
    {
        if (record.data_address.address == notice.label.owner_address &&
            is_live(record.state))
        {
            hints_.learn(flow_from_caller(notice), record.id);
            ++tallies_.hints_learnt;
            return;
        }
    }
}

auto packet_balancer::is_ready() -> bool
{
    if (routes_ == nullptr)
    {
        return false;
    }
    return std::any_of(members_.records().begin(), members_.records().end(),
                       [](const member_record& it)
                       {
                           return it.kind == member_kind::agent &&
                                  it.state == member_state::ready;
                       });
}

auto packet_balancer::version() const -> configuration_version
{
    return routes_ == nullptr ? 0 : routes_->version;
}

auto packet_balancer::tallies() const -> const balancer_tallies&
{
    return tallies_;
}

} // namespace briardrum
