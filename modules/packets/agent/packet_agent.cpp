#include "packets/agent/packet_agent.hpp"

#include <algorithm>
#include <utility>

namespace briardrum
{

namespace
{

// Interval between checks whether a server process that is in doubt runs.
constexpr millis look_interval = milliseconds(500);

} // namespace

packet_agent::packet_agent(member_view& members, packet_agent_settings settings,
                           packet_hooks hooks, millis started_at)
    : state_(members, std::move(settings), std::move(hooks), started_at),
      notices_(state_), opener_(state_, notices_),
      locator_(state_,
               [this](millis now, const flow_packet& packet)
               {
                   router_.on_packet(now, {}, packet);
               }),
      router_(state_, opener_, locator_, notices_),
      server_packets_(state_, opener_, locator_, notices_), expiry_(state_),
      warm_up_log_(state_), intake_(state_)
{
}

auto packet_agent::on_packet(millis now, const endpoint& from,
                             const flow_packet& packet) -> void
{
    if (packet.label.service != state_.tag && !is_of_known_flow(packet))
    {
        ++state_.counters.wrong_service;
        state_.emit(
            state_.flow_event("packet_refused", flow_from_caller(packet))
                .with("reason", "wrong_service")
                .with("kind", to_string(packet.label.kind))
                .with("from", to_string(from))
                .with("own_service", state_.server.service_name()));
        return;
    }
    if (packet.label.kind == label_kind::owned)
    {
        opener_.on_opened_elsewhere(now, packet);
        locator_.on_owned(now, from, packet);
    }
    else if (packet.label.kind == label_kind::unowned)
    {
        locator_.on_unowned(now, from, packet);
    }
    else if (packet.opens && packet.label.kind == label_kind::hedge)
    {
        opener_.on_hedge(now, from, packet);
    }
    else if (packet.opens)
    {
        locator_.on_opened(flow_from_caller(packet));
        opener_.on_packet(now, from, packet);
    }
    else
    {
        router_.on_packet(now, from, packet);
    }
}

// An open flow stays with its server, whatever service its route leads to, or
// its server is said to be of, since it was opened.
auto packet_agent::is_of_known_flow(const flow_packet& packet) const -> bool
{
    const auto kind = packet.label.kind;
    const auto is_data = kind == label_kind::forward ||
                         kind == label_kind::relay ||
                         kind == label_kind::locate;
    const auto* row = state_.flows.find(flow_from_caller(packet));
    return is_data && !packet.opens && row != nullptr &&
           row->phase != flow_phase::waiting &&
           row->phase != flow_phase::probing;
}

auto packet_agent::on_server_packet(millis now, const flow_packet& packet)
    -> void
{
    server_packets_.on_packet(now, packet);
}

auto packet_agent::on_control(millis now, const control_message& message)
    -> void
{
    if (const auto* query = std::get_if<flow_query_message>(&message.body))
    {
        locator_.on_query(now, message.from, *query);
    }
    else if (const auto* reply = std::get_if<flow_reply_message>(&message.body))
    {
        locator_.on_reply(now, message.from, *reply);
    }
}

auto packet_agent::on_member_departed(millis now, const member_record& record)
    -> void
{
    locator_.on_departed(now, record);
}

auto packet_agent::on_registered_agents(millis now,
                                        std::span<const listed_agent> agents)
    -> void
{
    locator_.on_registered(now, agents);
}

auto packet_agent::on_heartbeat(millis now, const server_heartbeat& heartbeat)
    -> heartbeat_outcome
{
    auto report = heartbeat_event(now, heartbeat);
    const auto process_ended = state_.server.has_process_ended();
    const auto outcome = state_.server.on_heartbeat(now, heartbeat);
    if (outcome != heartbeat_outcome::renewed)
    {
        state_.emit(std::move(report).with("outcome", to_string(outcome)));
    }
    if (outcome == heartbeat_outcome::late ||
        outcome == heartbeat_outcome::outdated ||
        outcome == heartbeat_outcome::unconfirmed)
    {
        return outcome;
    }
    if (outcome == heartbeat_outcome::replaced)
    {
        // Without evidence of its end, the process may live on, and its flows
        // end when it returns their packets.
        if (process_ended)
        {
            server_packets_.drop_server_flows(now);
        }
        state_.conduct.on_replaced(now);
    }
    state_.warm_up.on_heartbeat(now, state_.server.warm_up_left(now));
    warm_up_log_.update(now);
    state_.conduct.on_heartbeat(now);
    state_.tag = service_tag_of(state_.server.service_name());
    state_.admission.set_slots(state_.server.slots());
    state_.conduct.set_slots(state_.server.slots());
    update_own_record(now);
    update_warm_up_rate(now);
    return outcome;
}

// The heartbeat, and what was known of the server before it.
auto packet_agent::heartbeat_event(millis now,
                                   const server_heartbeat& heartbeat) const
    -> event
{
    auto out = event("server_heartbeat")
                   .with("server", heartbeat.server_id)
                   .with("service", heartbeat.service_name)
                   .with("started_ms", as_count(heartbeat.started_at))
                   .with("sequence", heartbeat.sequence)
                   .with("draining", heartbeat.draining ? "yes" : "no")
                   .with("flows", std::uint64_t{state_.flows.size()});
    const auto& server = state_.server;
    if (!server.is_known())
    {
        return out;
    }
    return std::move(out)
        .with("held_server", server.server_id())
        .with("held_service", server.service_name())
        .with("held_started_ms", as_count(server.incarnation_started()))
        .with("heartbeat_ms_ago", as_count(now - server.last_heartbeat_at()))
        .with("heard_ms_ago", as_count(now - server.last_heard_at()));
}

// Only the end of the process shows that the server is gone, so it is looked
// for at once.
auto packet_agent::on_leave(millis now, const std::string& server_id)
    -> leave_outcome
{
    const auto outcome = state_.server.on_leave(now, server_id);
    if (outcome == leave_outcome::left)
    {
        state_.warm_up.on_restart_suspected();
    }
    state_.emit(event("server_left")
                    .with("server", server_id)
                    .with("held_server", state_.server.server_id())
                    .with("outcome", to_string(outcome)));
    update_own_record(now);
    next_look_ = now;
    look_for_server(now);
    return outcome;
}

auto packet_agent::look_for_server(millis now) -> void
{
    if (now < next_look_ || !state_.hooks.look_for_server ||
        !state_.server.is_in_doubt(now, state_.started_at))
    {
        return;
    }
    next_look_ = now + look_interval;
    state_.hooks.look_for_server(now);
}

auto packet_agent::on_server_not_found(millis now, millis checked_at) -> void
{
    if (!state_.server.on_not_found(now, checked_at))
    {
        return;
    }
    state_.warm_up.on_restart_suspected();
    state_.emit(event("server_absent", event_level::warning)
                    .with("service", state_.server.service_name())
                    .with("flows", std::uint64_t{state_.flows.size()})
                    .with("checked_ms_ago", as_count(now - checked_at)));
    server_packets_.drop_flows_of_absent_server(now);
    state_.conduct.on_replaced(now);
    update_own_record(now);
}

// A process that is stopped right after its start has not heard of its server
// yet, and one that is stopped with its server may not know yet that it is
// gone. It must know whether there is one before it leaves: other members
// cannot exclude that a departed agent's server holds flows.
auto packet_agent::drain(millis now) -> void
{
    state_.draining = true;
    const auto doubtful = !state_.server.is_known() ||
                          state_.server.is_in_doubt(now, state_.started_at);
    if (doubtful && state_.hooks.look_for_server)
    {
        state_.hooks.look_for_server(now);
    }
    opener_.redistribute_queued_flows(now);
    update_own_record(now);
}

auto packet_agent::on_policy(millis now, const placement_policy& policy) -> void
{
    const auto was_evacuated = state_.is_evacuated();
    state_.policy = policy;
    if (state_.is_evacuated() != was_evacuated)
    {
        state_.emit(
            event(was_evacuated ? "evacuation_ended" : "evacuation_started")
                .with("data_centre", state_.members.self().data_centre)
                .with("era", policy.era)
                .with("revision", static_cast<std::uint64_t>(policy.revision))
                .with("flows", std::uint64_t{state_.flows.size()})
                .with("waiting", std::uint64_t{state_.admission.waiting()}));
    }
    update_own_record(now);
    update_warm_up_rate(now);
    if (!state_.accepts_new_flows(now))
    {
        opener_.redistribute_queued_flows(now);
    }
}

auto packet_agent::update_warm_up_rate(millis now) -> void
{
    if (!state_.policy.has_value())
    {
        return;
    }
    const auto& limits = state_.policy->warm_up;
    const auto it = std::find_if(limits.begin(), limits.end(),
                                 [&](const service_warm_up& item)
                                 {
                                     return item.service == state_.tag;
                                 });
    constexpr double milli = 1000.0;
    set_warm_up_rate(now, it == limits.end()
                              ? std::nullopt
                              : std::optional<double>(
                                    it->requests_per_second_milli / milli));
}

// New flows are only given to agents in the state ready. Every cause counts by
// itself, so that the end of one does not end another.
auto packet_agent::own_state() const -> member_state
{
    const auto& server = state_.server;
    if (state_.draining || server.is_draining() || state_.is_evacuated())
    {
        return member_state::draining;
    }
    const auto serves = server.is_known() && !server.is_absent();
    return serves && !state_.awaits_policy() ? member_state::ready
                                             : member_state::joining;
}

auto packet_agent::update_own_record(millis now) -> void
{
    const auto& own = state_.members.self();
    const auto state = own_state();
    if (own.service_name != state_.server.service_name())
    {
        state_.members.set_service(now, state_.server.service_name());
    }
    // No slots mean that no server process runs: no flow can be open here.
    const auto slots = state_.server.is_absent() ? 0 : state_.server.slots();
    if (own.slots != slots)
    {
        state_.members.set_slots(now, slots);
    }
    if (own.state != state && own.state != member_state::left)
    {
        state_.members.set_state(now, state);
    }
}

auto packet_agent::set_warm_up_rate(millis now,
                                    std::optional<double> requests_per_second)
    -> void
{
    state_.warm_up.set_rate(requests_per_second);
    warm_up_log_.update(now);
}

auto packet_agent::tick(millis now) -> void
{
    look_for_server(now);
    intake_.tick(now);
    opener_.drop_expired(now);
    opener_.start_queued_flows(now);
    locator_.tick(now);
    notices_.reannounce();
    expiry_.tick(now);
    warm_up_log_.update(now);
}

auto packet_agent::is_drained() const -> bool
{
    return std::all_of(state_.flows.rows().begin(), state_.flows.rows().end(),
                       [](const auto& it)
                       {
                           return it.row.caller_closed && it.row.server_closed;
                       });
}

auto packet_agent::is_evacuated() const -> bool
{
    return state_.is_evacuated();
}

auto packet_agent::awaits_policy() const -> bool
{
    return state_.awaits_policy();
}

auto packet_agent::server() const -> const local_server&
{
    return state_.server;
}

auto packet_agent::admission() const -> const flow_admission&
{
    return state_.admission;
}

auto packet_agent::flow_count() const -> std::size_t
{
    return state_.flows.size();
}

auto packet_agent::conduct() const -> const server_conduct&
{
    return state_.conduct;
}

auto packet_agent::intake() const -> const conduct_bound&
{
    return state_.intake;
}

auto packet_agent::counters() const -> const packet_agent_counters&
{
    return state_.counters;
}

} // namespace briardrum
