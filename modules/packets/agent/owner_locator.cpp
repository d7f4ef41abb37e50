#include "packets/agent/owner_locator.hpp"

#include "packets/model/known_members.hpp"

#include <algorithm>
#include <utility>

namespace briardrum
{

owner_locator::owner_locator(agent_state& state, release_hook release)
    : state_(state), release_(std::move(release)),
      lost_flows_(
          state.members, state.settings.flow_lifetime, state.started_at,
          {[this](const member_record& to, flow_query_message query)
           {
               send_query(to, std::move(query));
           },
           [this](millis now, const flow_packet& packet, member_id owner)
           {
               on_found(now, packet, owner);
           },
           [this](millis, const lost_flow& flow)
           {
               on_lost(flow);
           },
           [this](const undecided_flow& flow)
           {
               on_undecided(flow);
           },
           [this](millis now, const flow_packet& packet, member_id to)
           {
               return show_packet(now, packet, to);
           }})
{
}

auto owner_locator::has_recent_search(const flow_key& flow) const -> bool
{
    return searches_.has_recent_search(flow);
}

auto owner_locator::search(millis now, const flow_packet& packet) -> void
{
    const auto flow = flow_from_caller(packet);
    lost_flows_.suspect(now, packet);
    if (!state_.may_have_unknown_flows(now))
    {
        on_denied_by_server(flow);
    }
    // After a mass event most flows that are looked for are lost. A query to
    // all members carries many of them, and a search only one.
    if (packet.payload_bytes > 0 && lost_flows_.is_recovering(now))
    {
        ++state_.counters.dropped;
        return;
    }
    const auto agents = state_.members.agents_of(state_.server.service_name());
    const auto others = std::count_if(agents.begin(), agents.end(),
                                      [&](member_id id)
                                      {
                                          return id != state_.members.self().id;
                                      });
    switch (searches_.admit(now, flow, static_cast<std::size_t>(others)))
    {
    case owner_search::decision::search:
        ask_agents(flow, packet, agents);
        return;
    case owner_search::decision::hold:
        state_.counters.dropped += held_.hold(flow, packet) ? 0 : 1;
        return;
    case owner_search::decision::drop:
        ++state_.counters.dropped;
        return;
    case owner_search::decision::defer:
        ++state_.counters.dropped;
        ++state_.counters.searches_deferred;
        state_.emit(state_.flow_event("search_deferred", flow)
                        .with("reason", "too_many_searches"));
        return;
    }
}

auto owner_locator::ask_agents(const flow_key& flow, const flow_packet& packet,
                               std::span<const member_id> agents) -> void
{
    ++state_.counters.searches;
    auto label = packet.label;
    label.kind = label_kind::locate;
    label.service = state_.tag;
    std::uint64_t asked = 0;
    for (const auto id : agents)
    {
        if (id != state_.members.self().id)
        {
            ++asked;
            state_.send_to(id, packet, label);
        }
    }
    state_.emit(state_.flow_event("owner_searched", flow)
                    .with("asked", asked)
                    .with("hops", std::uint64_t{packet.label.hops}));
}

auto owner_locator::on_owned(millis now, const endpoint& from,
                             const flow_packet& notice) -> void
{
    const auto* owner = state_.find_by_address(from.address);
    if (owner == nullptr || owner->id == state_.members.self().id)
    {
        return;
    }
    const auto flow = flow_from_caller(notice);
    lost_flows_.forget(flow);
    state_.redirects.set(now, {flow, owner->id, owner->incarnation, 0});
    const auto* probed = state_.flows.find(flow);
    if (probed != nullptr && probed->phase == flow_phase::probing)
    {
        state_.remove_flow(now, flow);
    }
    if (!searches_.on_owner_found(flow))
    {
        return;
    }
    ++state_.counters.searches_found;
    state_.emit(
        state_.flow_event("owner_found", flow).with("owner", owner->name));
    held_.release(flow,
                  [&](const flow_packet& packet)
                  {
                      release_(now, packet);
                  });
}

auto owner_locator::on_unowned(millis now, const endpoint& from,
                               const flow_packet& notice) -> void
{
    const auto flow = flow_from_caller(notice);
    if (const auto* record = state_.find_by_address(from.address))
    {
        lost_flows_.on_denied(flow, record->id);
    }
    const auto denial = searches_.on_denied(now, flow, from.address);
    if (denial.has_value())
    {
        state_.emit(state_.flow_event("owner_denied", flow)
                        .with("denied_by", std::uint64_t{denial->agents})
                        .with("since_ms", as_count(denial->elapsed)));
    }
}

auto owner_locator::on_denied_by_server(const flow_key& flow) -> void
{
    lost_flows_.on_denied(flow, state_.members.self().id);
}

auto owner_locator::on_opened(const flow_key& flow) -> void
{
    lost_flows_.forget(flow);
}

auto owner_locator::on_registered(millis now,
                                  std::span<const listed_agent> agents) -> void
{
    lost_flows_.on_registered(now, agents);
}

auto owner_locator::on_departed(millis now, const member_record& record) -> void
{
    lost_flows_.on_departed(now, record);
}

// A flow that is queued here is not open, but its owner is known.
auto owner_locator::on_query(millis now, member_id from,
                             const flow_query_message& query) -> void
{
    const auto* record = state_.members.find(from);
    if (record == nullptr)
    {
        return;
    }
    flow_reply_message reply;
    reply.sequence = query.sequence;
    fill_members(state_.members, query, reply);
    const auto certain = !state_.may_have_unknown_flows(now);
    for (const auto& flow : query.flows)
    {
        const auto* row = state_.flows.find(flow);
        if (row != nullptr && row->phase != flow_phase::probing)
        {
            reply.held.push_back(flow);
        }
        else if (row == nullptr && certain)
        {
            reply.absent.push_back(flow);
        }
    }
    const auto& self = state_.members.self();
    state_.hooks.send_control(record->control_address,
                              {self.id, self.incarnation, std::move(reply)});
}

auto owner_locator::on_reply(millis now, member_id from,
                             const flow_reply_message& reply) -> void
{
    lost_flows_.on_reply(now, from, reply);
}

auto owner_locator::send_query(const member_record& to,
                               flow_query_message query) -> void
{
    ++state_.counters.flow_queries;
    const auto& self = state_.members.self();
    state_.hooks.send_control(to.control_address,
                              {self.id, self.incarnation, std::move(query)});
}

auto owner_locator::on_found(millis now, const flow_packet& packet,
                             member_id owner) -> void
{
    const auto* record = state_.members.find(owner);
    if (record == nullptr)
    {
        return;
    }
    const auto flow = flow_from_caller(packet);
    state_.redirects.set(now, {flow, owner, record->incarnation, 0});
    state_.emit(state_.flow_event("owner_found", flow)
                    .with("owner", record->name)
                    .with("service", record->service_name));
    auto again = packet;
    again.label.kind = label_kind::relay;
    release_(now, again);
}

auto owner_locator::on_lost(const lost_flow& flow) -> void
{
    ++state_.counters.reset;
    ++state_.counters.lost;
    flow_packet packet;
    packet.source = flow.caller;
    packet.destination = flow.route;
    state_.emit(
        state_.flow_event("flow_reset", flow_from_caller(packet))
            .with("reason", "flow_lost")
            .with("denied_by", std::uint64_t{flow.denied_by})
            .with("members", std::uint64_t{state_.members.live().size()})
            .with("since_ms", as_count(flow.elapsed)));
    state_.hooks.send_reset(flow.route, flow.caller, flow.acknowledged);
}

// Only servers of the own service are shown packets of its flows.
auto owner_locator::show_packet(millis now, const flow_packet& packet,
                                member_id to) -> bool
{
    const auto* record = state_.members.find(to);
    const auto serves_flow = record != nullptr &&
                             record->kind == member_kind::agent &&
                             service_tag_of(record->service_name) == state_.tag;
    if (!serves_flow || !searches_.try_send(now))
    {
        return false;
    }
    auto label = packet.label;
    label.kind = label_kind::locate;
    label.service = state_.tag;
    return state_.send_to(to, packet, label);
}

auto owner_locator::on_undecided(const undecided_flow& it) -> void
{
    ++state_.counters.undecided;
    state_.emit(
        state_.flow_event("flow_undecided", it.flow)
            .with("denied_by", std::uint64_t{it.denied_by})
            .with("members", std::uint64_t{state_.members.live().size()})
            .with("missing_replies", std::uint64_t{it.missing_replies})
            .with("departed", std::uint64_t{it.departed}));
}

auto owner_locator::tick(millis now) -> void
{
    report_failed(now);
    lost_flows_.tick(now);
}

auto owner_locator::report_failed(millis now) -> void
{
    for (const auto& flow : searches_.take_failed(now))
    {
        std::uint64_t dropped = 0;
        held_.release(flow,
                      [&](const flow_packet&)
                      {
                          ++dropped;
                      });
        ++state_.counters.searches_failed;
        state_.emit(state_.flow_event("owner_not_found", flow)
                        .with("dropped", dropped));
    }
}

} // namespace briardrum
