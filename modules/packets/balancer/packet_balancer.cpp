#include "packets/balancer/packet_balancer.hpp"

#include "packets/model/known_members.hpp"

#include <algorithm>
#include <utility>

namespace briardrum
{

packet_balancer::packet_balancer(const member_view& members, packet_hooks hooks)
    : members_(members), hooks_(std::move(hooks)), hints_(hint_capacity),
      hedger_(make_hedging_hooks())
{
}

auto packet_balancer::adopt(millis now, std::shared_ptr<const route_table> next)
    -> bool
{
    if (next == nullptr || next->version <= version())
    {
        report_ignored(next.get());
        return false;
    }
    if (hooks_.events)
    {
        hooks_.events(event("configuration_adopted")
                          .with("version", next->version)
                          .with("was", version())
                          .with("routes", std::uint64_t{next->routes.size()}));
    }
    remember_former_targets(now, *next);
    routes_ = std::move(next);
    return true;
}

// The version in force is read again after each loss of the store; only older
// ones are told.
auto packet_balancer::report_ignored(const route_table* next) const -> void
{
    if (hooks_.events && next != nullptr && next->version != version())
    {
        hooks_.events(event("configuration_ignored", event_level::warning)
                          .with("version", next->version)
                          .with("held", version()));
    }
}

// Open flows stay with the service that they were opened at. Before its first
// table, this process does not know how the weights of a route have changed, so
// that a flow may be open at any of the route's services.
auto packet_balancer::remember_former_targets(millis now,
                                              const route_table& next) -> void
{
    std::erase_if(former_targets_,
                  [&](const auto& item)
                  {
                      return next.find(item.first) == nullptr;
                  });
    // Whether requests may be repeated does not affect where flows are.
    const auto places_alike = [](const route& a, const route& b)
    {
        return a.targets == b.targets && a.urgency == b.urgency;
    };
    const auto& former = routes_ == nullptr ? next : *routes_;
    for (const auto& [address, old] : former.routes)
    {
        const auto* current = next.find(address);
        const auto is_certain =
            routes_ == nullptr
                ? old.targets.size() == 1
                : current != nullptr && places_alike(*current, old);
        if (current != nullptr && !is_certain)
        {
            remember_targets(now, address, old);
        }
    }
}

auto packet_balancer::remember_targets(millis now, const endpoint& address,
                                       const route& former) -> void
{
    auto& list = former_targets_[address];
    std::erase_if(list,
                  [&](const former_target& it)
                  {
                      return it.until <= now;
                  });
    const auto until = now + former_service_time;
    for (const auto& target : former.targets)
    {
        const auto it =
            std::find_if(list.begin(), list.end(),
                         [&](const former_target& item)
                         {
                             return item.service_name == target.service_name;
                         });
        if (it == list.end())
        {
            list.push_back({target.service_name, until});
        }
        else
        {
            it->until = until;
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
        ++counters_.no_configuration;
        return;
    }
    hedger_.tick(now);
    const auto* matched = routes_->find(packet.destination);
    if (matched == nullptr)
    {
        refuse_unknown_route(packet);
        return;
    }
    const auto flow = flow_from_caller(packet);
    if (packet.opens)
    {
        place_flow(now, packet, *matched, flow);
    }
    else
    {
        forward_open_flow(now, packet, *matched, flow);
    }
}

// A retransmitted opening packet is sent to another agent, because the home
// agent may be unreachable. The next packets of the flow are sent to the agent
// that received this one, which owns the flow or is notified of the owner:
// another agent may have become the home when members have changed.
auto packet_balancer::place_flow(millis now, const flow_packet& packet,
                                 const route& matched, const flow_key& flow)
    -> void
{
    ++counters_.opened;
    const auto& service_name = matched.service_of(flow);
    const auto& targets = targets_of(service_name);
    const auto* target = targets.placement_target(flow, packet.retransmissions);
    if (target == nullptr)
    {
        on_no_agent(packet, service_name);
        return;
    }
    send(target->address, packet, matched, service_name);
    hints_.learn(flow, target->id);
    if (matched.may_repeat)
    {
        hedger_.on_opening(now, service_name, target->id, packet);
    }
    if (packet.retransmissions > 0)
    {
        report_unanswered_agent(now, targets, packet, flow);
    }
    if (hooks_.events)
    {
        hooks_.events(event("flow_placed")
                          .with("flow", to_string(flow.caller))
                          .with("service", service_name)
                          .with("agent", to_string(target->address))
                          .with("copies", std::uint64_t{packet.retransmissions})
                          .with("version", version()));
    }
}

// A retransmission means that the agent of the previous packet has not
// answered.
auto packet_balancer::report_unanswered_agent(millis now,
                                              const service_targets& targets,
                                              const flow_packet& packet,
                                              const flow_key& flow) -> void
{
    const auto* earlier =
        targets.placement_target(flow, std::size_t{packet.retransmissions} - 1);
    if (earlier != nullptr && hooks_.opening_unanswered)
    {
        hooks_.opening_unanswered(now, earlier->id);
    }
}

auto packet_balancer::forward_open_flow(millis now, const flow_packet& packet,
                                        const route& matched,
                                        const flow_key& flow) -> void
{
    const auto twice = hedger_.on_next_packet(now, flow) ? opened_twice::yes
                                                         : opened_twice::no;
    if (forward_to_hint(packet, matched, flow, twice))
    {
        return;
    }
    const auto& current = matched.service_of(flow);
    send_to_home(packet, matched, current, flow, twice);
    const auto it = former_targets_.find(packet.destination);
    if (it == former_targets_.end())
    {
        return;
    }
    for (const auto& item : it->second)
    {
        if (item.until > now && item.service_name != current)
        {
            ++counters_.to_former_service;
            send_to_home(packet, matched, item.service_name, flow, twice);
        }
    }
}

auto packet_balancer::forward_to_hint(const flow_packet& packet,
                                      const route& matched,
                                      const flow_key& flow, opened_twice twice)
    -> bool
{
    const auto id = hints_.find(flow);
    const auto* record = id == 0 ? nullptr : members_.find(id);
    if (record == nullptr || !is_live(record->state))
    {
        return false;
    }
    ++counters_.by_hint;
    send(record->data_address, packet, matched, record->service_name, twice);
    return true;
}

auto packet_balancer::send_to_home(const flow_packet& packet,
                                   const route& matched,
                                   const std::string& service_name,
                                   const flow_key& flow, opened_twice twice)
    -> void
{
    // A suspect home agent is skipped; owners also notify the next agents of
    // the order.
    const auto& targets = targets_of(service_name);
    const auto* home = targets.placement_target(flow, 0);
    if (home == nullptr && evacuating_)
    {
        home = targets.any_target(flow);
    }
    if (home == nullptr)
    {
        ++counters_.no_agent;
        return;
    }
    ++counters_.by_home;
    send(home->address, packet, matched, service_name, twice);
}

auto packet_balancer::send(const endpoint& to, const flow_packet& packet,
                           const route& matched,
                           const std::string& service_name, opened_twice twice)
    -> void
{
    packet_label label;
    label.kind = label_kind::forward;
    label.urgency =
        std::min<std::uint8_t>(matched.urgency, packet_label::hops_max);
    label.service = service_tag_of(service_name);
    label.hops = std::min(packet.retransmissions, packet_label::hops_max);
    label.deadline_ms =
        packet.opens ? std::uint16_t{0}
                     : static_cast<std::uint16_t>(matched.deadline.count);
    label.best_position =
        twice == opened_twice::yes ? packet_label::hedged_mark : 0;
    hooks_.send_labelled(to, packet, label);
}

auto packet_balancer::make_hedging_hooks() -> hedging_hooks
{
    return {[this](millis now, const kept_opening& opening)
            {
                return send_hedge(now, opening);
            },
            hooks_.events};
}

// The configuration or the members may have changed since the opening packet
// was sent: the route is read again, and the second agent is the first of the
// present order that has not received the packet.
auto packet_balancer::send_hedge(millis now, const kept_opening& opening)
    -> bool
{
    const auto flow = flow_from_caller(opening.packet);
    const auto* matched = routes_->find(opening.packet.destination);
    if (matched == nullptr || !matched->may_repeat ||
        matched->service_of(flow) != opening.service_name)
    {
        return false;
    }
    const auto& targets = targets_of(opening.service_name);
    const auto* target = targets.placement_target(flow, 0);
    if (target != nullptr && target->id == opening.agent)
    {
        target = targets.placement_target(flow, 1);
    }
    if (target == nullptr || target->suspect || target->id == opening.agent)
    {
        return false;
    }
    const auto waited = (now - opening.opened_at).count;
    packet_label label;
    label.kind = label_kind::hedge;
    label.urgency =
        std::min<std::uint8_t>(matched->urgency, packet_label::hops_max);
    label.service = service_tag_of(opening.service_name);
    label.hops = 1;
    label.waited_ms = static_cast<std::uint16_t>(waited);
    hooks_.send_labelled(target->address, opening.packet, label);
    if (hooks_.events)
    {
        hooks_.events(event("hedge_sent")
                          .with("flow", to_string(flow.caller))
                          .with("service", opening.service_name)
                          .with("agent", to_string(target->address))
                          .with("waited_ms", static_cast<std::uint64_t>(waited))
                          .with("version", version()));
    }
    return true;
}

auto packet_balancer::configure_hedging(millis now,
                                        const hedging_settings& settings)
    -> void
{
    hedger_.configure(now, settings);
}

auto packet_balancer::tick(millis now) -> void
{
    if (routes_ != nullptr)
    {
        hedger_.tick(now);
    }
}

auto packet_balancer::refuse_unknown_route(const flow_packet& packet) -> void
{
    ++counters_.no_route;
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

auto packet_balancer::set_evacuating(bool evacuating) -> void
{
    evacuating_ = evacuating;
}

auto packet_balancer::is_evacuated(const std::string& service_name) const
    -> bool
{
    const auto agents = members_.agents_of(service_name);
    return evacuating_ && !agents.empty() &&
           std::all_of(agents.begin(), agents.end(),
                       [&](member_id id)
                       {
                           return members_.find(id)->state ==
                                  member_state::draining;
                       });
}

// A retransmission is not refused: an earlier copy may have opened the flow.
auto packet_balancer::on_no_agent(const flow_packet& packet,
                                  const std::string& service_name) -> void
{
    if (packet.retransmissions > 0 || !is_evacuated(service_name))
    {
        ++counters_.no_agent;
        return;
    }
    ++counters_.evacuated;
    hooks_.send_reset(packet.destination, packet.source, 0);
    if (hooks_.events)
    {
        hooks_.events(event("flow_refused")
                          .with("flow", to_string(packet.source))
                          .with("route", to_string(packet.destination))
                          .with("reason", "evacuated")
                          .with("service", service_name)
                          .with("version", version()));
    }
}

auto packet_balancer::on_hint(const flow_packet& notice) -> void
{
    // The second agent's server has answered the opening packet. Once the
    // caller's next packet has passed, the agents tell which one owns the flow.
    if (notice.label.best_position == packet_label::hedged_mark &&
        !hedger_.is_kept(flow_from_caller(notice)))
    {
        return;
    }
    for (const auto& record : members_.records())
    {
        if (record.data_address.address == notice.label.owner_address &&
            is_live(record.state))
        {
            hints_.learn(flow_from_caller(notice), record.id);
            ++counters_.hints_learnt;
            return;
        }
    }
}

auto packet_balancer::on_control(const control_message& message) -> void
{
    const auto* query = std::get_if<flow_query_message>(&message.body);
    const auto* record = members_.find(message.from);
    if (query == nullptr || record == nullptr || !hooks_.send_control)
    {
        return;
    }
    flow_reply_message reply;
    reply.sequence = query->sequence;
    fill_members(members_, *query, reply);
    const auto& self = members_.self();
    hooks_.send_control(record->control_address,
                        {self.id, self.incarnation, std::move(reply)});
}

auto packet_balancer::is_ready() -> bool
{
    if (routes_ == nullptr)
    {
        return false;
    }
    return std::any_of(
        members_.records().begin(), members_.records().end(),
        [&](const member_record& it)
        {
            return it.kind == member_kind::agent &&
                   (it.state == member_state::ready ||
                    (evacuating_ && it.state == member_state::draining));
        });
}

auto packet_balancer::version() const -> configuration_version
{
    return routes_ == nullptr ? 0 : routes_->version;
}

auto packet_balancer::counters() const -> const packet_balancer_counters&
{
    return counters_;
}

auto packet_balancer::hedging() const -> const hedging_counters&
{
    return hedger_.counters();
}

} // namespace briardrum
