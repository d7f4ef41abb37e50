#include "packets/agent/agent_state.hpp"

#include <algorithm>
#include <utility>

namespace briardrum
{

namespace
{

// Maximum number of hops of a packet between agents: an opening packet is
// offered to up to eight agents and then settles, and the packets that follow
// it may take the same way.
constexpr std::uint8_t relay_hops_max = 10;

auto uses_slot(flow_phase phase) -> bool
{
    return phase == flow_phase::opening || phase == flow_phase::asking;
}

auto warm_up_settings_of(const packet_agent_settings& settings)
    -> std::optional<warm_up_settings>
{
    if (!settings.warm_up_overshoot.has_value())
    {
        return std::nullopt;
    }
    return warm_up_settings{*settings.warm_up_overshoot,
                            settings.warm_up_slack.value_or(0)};
}

} // namespace

auto as_count(millis span) -> std::uint64_t
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, span.count));
}

agent_state::agent_state(member_view& all_members,
                         packet_agent_settings start_settings,
                         packet_hooks start_hooks, millis start)
    : members(all_members), settings(std::move(start_settings)),
      hooks(std::move(start_hooks)), started_at(start),
      server(settings.service_name, settings.heartbeat_interval),
      admission(settings.admission),
      warm_up(warm_up_settings_of(settings), start),
      conduct(settings.judge_server), intake(members.self().id),
      tag(service_tag_of(settings.service_name))
{
}

auto agent_state::emit(event&& value) const -> void
{
    if (hooks.events)
    {
        hooks.events(value);
    }
}

auto agent_state::flow_event(std::string_view name, const flow_key& flow) const
    -> event
{
    return event(name)
        .with("flow", to_string(flow.caller))
        .with("busy", std::uint64_t{admission.busy()})
        .with("slots", std::uint64_t{server.slots()})
        .with("waiting", std::uint64_t{admission.waiting()});
}

// Returns the opening packet with the time that it has spent here added. Its
// bytes belong to the row and must be copied before the row is removed.
auto agent_state::opening_of(millis now, const owned_flow& row) const
    -> flow_packet
{
    auto out = row.opening;
    const auto waited = out.label.waited_ms + as_count(now - row.known_since);
    out.label.waited_ms = static_cast<std::uint16_t>(
        std::min<std::uint64_t>(waited, packet_label::waited_ms_max));
    return out;
}

auto agent_state::add_flow(millis now, const flow_packet& packet,
                           flow_phase phase) -> owned_flow&
{
    auto& row = flows.insert(flow_from_caller(packet));
    row.caller = packet.source;
    row.route = packet.destination;
    row.phase_since = now;
    row.known_since = now;
    row.last_used = now;
    row.caller_acknowledged = packet.acknowledges ? packet.acknowledged : 0;
    row.opening = packet;
    row.opening.datagram = {};
    if (packet.opens)
    {
        row.opening_bytes = to_buffer(packet.datagram);
    }
    set_phase(now, row, phase);
    return row;
}

auto agent_state::set_phase(millis now, owned_flow& row, flow_phase phase)
    -> void
{
    const auto before = row.phase;
    if (uses_slot(phase) && !uses_slot(before))
    {
        admission.acquire_slot();
    }
    if (!uses_slot(phase) && uses_slot(before))
    {
        const auto answered =
            before == flow_phase::asking && phase == flow_phase::idle;
        admission.release_slot(
            answered ? std::optional<millis>(now - row.phase_since)
                     : std::nullopt);
    }
    if (phase == flow_phase::receiving && before != flow_phase::receiving)
    {
        admission.begin_transfer();
    }
    if (phase != flow_phase::receiving && before == flow_phase::receiving)
    {
        admission.end_transfer();
    }
    if (phase == flow_phase::opening && before != flow_phase::opening)
    {
        intake.on_flow_started(now);
    }
    row.phase = phase;
    row.phase_since = now;
    if (phase == flow_phase::idle)
    {
        row.opening_bytes.clear();
        row.opening_bytes.shrink_to_fit();
    }
}

auto agent_state::remove_flow(millis now, const flow_key& flow) -> void
{
    auto* row = flows.find(flow);
    if (row == nullptr)
    {
        return;
    }
    counters.hedges_lost += is_undecided_hedge(*row) ? 1 : 0;
    admission.remove(flow);
    set_phase(now, *row, flow_phase::probing);
    conduct.forget(flow);
    flows.erase(flow);
}

// Returns true if the server may hold flows that this agent has never seen.
auto agent_state::may_have_unknown_flows(millis now) const -> bool
{
    const auto has_older_server =
        server.is_known() ? server.predates_agent() : !server.is_absent();
    return has_older_server && !server.is_absent() &&
           now - started_at < settings.flow_lifetime;
}

auto agent_state::order_of(const flow_key& flow) -> std::vector<member_id>
{
    candidates.refresh(members, server.service_name());
    return rendezvous_order(flow, candidates.serving());
}

auto agent_state::send_to(member_id to, const flow_packet& packet,
                          const packet_label& label) -> bool
{
    const auto* record = members.find(to);
    if (record == nullptr || !is_live(record->state))
    {
        return false;
    }
    hooks.send_labelled(record->data_address, packet, label);
    return true;
}

auto agent_state::find_by_address(std::uint32_t address) const
    -> const member_record*
{
    for (const auto& record : members.records())
    {
        if (record.data_address.address == address && is_live(record.state))
        {
            return &record;
        }
    }
    return nullptr;
}

auto agent_state::relay(const endpoint& from, const flow_packet& packet,
                        const redirect_table::row& to) -> bool
{
    const auto owner = to.owner;
    const auto* record = members.find(owner);
    if (packet.label.hops >= relay_hops_max || record == nullptr ||
        owner == members.self().id)
    {
        return false;
    }
    // An open flow stays with the service it was opened at, although its route
    // may lead to another one since.
    auto label = packet.label;
    const auto owner_service = service_tag_of(record->service_name);
    if (packet.opens && owner_service != label.service)
    {
        return false;
    }
    label.service = owner_service;
    label.kind = label_kind::relay;
    ++label.hops;
    if (!send_to(owner, packet, label))
    {
        return false;
    }
    ++counters.relayed;
    if (packet.label.kind == label_kind::forward && !packet.opens)
    {
        packet_label hint;
        hint.kind = label_kind::hint;
        hint.owner_address = members.find(owner)->data_address.address;
        hooks.send_notice(from, packet.source, packet.destination, hint);
    }
    return true;
}

auto agent_state::remember_offer(millis now, const flow_packet& opening,
                                 member_id to) -> void
{
    if (const auto* record = members.find(to))
    {
        offers.set(now,
                   {flow_from_caller(opening), to, record->incarnation, 0});
    }
}

// Returns true if the server, this process and the policy all accept new flows,
// and the intake is not reduced to probes.
auto agent_state::accepts_new_flows(millis now) const -> bool
{
    return !draining && !is_held_by_policy() && server.accepts_new_flows(now) &&
           intake.allows_flow(now);
}

auto agent_state::is_evacuated() const -> bool
{
    return policy.has_value() && std::binary_search(policy->evacuated.begin(),
                                                    policy->evacuated.end(),
                                                    members.self().data_centre);
}

auto agent_state::awaits_policy() const -> bool
{
    return settings.needs_policy && !policy.has_value();
}

auto agent_state::is_held_by_policy() const -> bool
{
    return is_evacuated() || awaits_policy();
}

auto agent_state::is_service_evacuated() const -> bool
{
    if (!policy.has_value() || policy->evacuated.empty())
    {
        return false;
    }
    const auto agents = members.agents_of(server.service_name());
    return std::all_of(agents.begin(), agents.end(),
                       [&](member_id id)
                       {
                           return members.find(id)->state ==
                                  member_state::draining;
                       });
}

} // namespace briardrum
