#include "packets/agent/packet_agent.hpp"

#include <algorithm>
#include <utility>

namespace briardrum
{

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
      server_packets_(state_, opener_, locator_, notices_), expiry_(state_)
{
}

auto packet_agent::on_packet(millis now, const endpoint& from,
                             const flow_packet& packet) -> void
{
    if (packet.label.service != state_.tag)
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
        locator_.on_owned(now, from, packet);
    }
    else if (packet.label.kind == label_kind::unowned)
    {
        locator_.on_unowned(now, from, packet);
    }
    else if (packet.opens)
    {
        opener_.on_packet(now, from, packet);
    }
    else
    {
        router_.on_packet(now, from, packet);
    }
}

auto packet_agent::on_server_packet(millis now, const flow_packet& packet)
    -> void
{
    server_packets_.on_packet(now, packet);
}

auto packet_agent::on_heartbeat(millis now, const server_heartbeat& heartbeat)
    -> heartbeat_outcome
{
    const auto outcome = state_.server.on_heartbeat(now, heartbeat);
    if (outcome != heartbeat_outcome::renewed)
    {
        state_.emit(event("server_heartbeat")
                        .with("server", heartbeat.server_id)
                        .with("service", heartbeat.service_name)
                        .with("sequence", heartbeat.sequence)
                        .with("draining", heartbeat.draining ? "yes" : "no")
                        .with("outcome", to_string(outcome)));
    }
    if (outcome == heartbeat_outcome::late ||
        outcome == heartbeat_outcome::outdated)
    {
        return outcome;
    }
    if (outcome == heartbeat_outcome::replaced)
    {
        server_packets_.drop_server_flows(now);
    }
    state_.tag = service_tag_of(state_.server.service_name());
    state_.admission.set_slots(state_.server.slots());
    update_own_record(now);
    return outcome;
}

auto packet_agent::on_leave(millis now, const std::string& server_id) -> bool
{
    const auto known = state_.server.on_leave(now, server_id);
    state_.emit(event("server_left")
                    .with("server", server_id)
                    .with("known", known ? "yes" : "no"));
    update_own_record(now);
    return known;
}

auto packet_agent::drain(millis now) -> void
{
    state_.draining = true;
    opener_.redistribute_queued_flows(now);
    update_own_record(now);
}

auto packet_agent::update_own_record(millis now) -> void
{
    const auto& own = state_.members.self();
    const auto leaves = state_.draining || state_.server.is_draining();
    const auto state = leaves ? member_state::draining : member_state::ready;
    if (own.service_name != state_.server.service_name())
    {
        state_.members.set_service(now, state_.server.service_name());
    }
    if (own.slots != state_.server.slots())
    {
        state_.members.set_slots(now, state_.server.slots());
    }
    if (own.state != state && own.state != member_state::left)
    {
        state_.members.set_state(now, state);
    }
}

auto packet_agent::tick(millis now) -> void
{
    opener_.drop_expired(now);
    opener_.start_queued_flows(now);
    locator_.report_failed(now);
    notices_.reannounce();
    expiry_.tick(now);
}

auto packet_agent::is_drained() const -> bool
{
    return std::all_of(state_.flows.rows().begin(), state_.flows.rows().end(),
                       [](const auto& it)
                       {
                           return it.row.caller_closed && it.row.server_closed;
                       });
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

auto packet_agent::counters() const -> const packet_agent_counters&
{
    return state_.counters;
}

} // namespace briardrum
