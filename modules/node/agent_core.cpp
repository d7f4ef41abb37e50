#include "node/agent_core.hpp"

#include "node/agent/agent_context.hpp"
#include "node/agent/flow_mover.hpp"
#include "node/agent/flow_router.hpp"
#include "node/agent/redirect_announcer.hpp"
#include "node/agent/request_path.hpp"

#include <utility>
#include <vector>

namespace briardrum
{

namespace
{

// An idle flow without stored answers and streams is dropped after this time.
constexpr millis flow_idle_max = minutes(10);

// Longer than flow_idle_max, so that a redirect outlives the flow it names.
constexpr millis redirect_idle_max = minutes(15);

constexpr millis housekeeping_interval = seconds(1);

// How long a server may be unreachable before its flows are moved away.
constexpr millis server_lost_grace = seconds(2);

// A draining agent keeps forwarding for at least this long, since the member
// views of balancers may be that outdated.
constexpr millis drain_duration_min = seconds(3);

} // namespace

struct agent_core::state
{
    state(const member_record& self, std::vector<endpoint> start_addresses,
          membership_settings settings, agent_hooks hooks, std::uint64_t seed)
        : context(self, std::move(start_addresses), settings, std::move(hooks),
                  seed),
          transfers(context.members,
                    {context.hooks.send_control,
                     [this](millis now, member_id to, const control_body& body,
                            transfer_outcome outcome)
                     {
                         on_transfer_ended(now, to, body, outcome);
                     }}),
          announcer(context, transfers), requests(context, seed + 1),
          mover(context, transfers, announcer, requests),
          router(context, announcer, requests)
    {
    }

    auto on_transfer_ended(millis now, member_id to, const control_body& body,
                           transfer_outcome outcome) -> void
    {
        if (const auto* move = std::get_if<hand_over_message>(&body))
        {
            mover.on_ended(now, to, *move, outcome);
        }
    }

    // Returns true while the flows of this agent should move to other agents.
    auto is_evacuating(millis now) const -> bool
    {
        const auto lost = server_lost && now - lost_at >= server_lost_grace;
        return draining || lost;
    }

    auto refresh_candidates(millis now) -> void
    {
        const auto& self = context.members.self();
        const auto changed =
            context.candidates.refresh(context.members, self.service_name);
        if (changed || self.incarnation != seen_incarnation)
        {
            seen_incarnation = self.incarnation;
            announcer.on_candidates_changed(now);
        }
    }

    auto finish_joining(millis now) -> void
    {
        const auto can_finish =
            joining && server_ready && context.config != nullptr &&
            context.own_service() != nullptr && announcer.has_joined(now);
        if (!can_finish)
        {
            return;
        }
        joining = false;
        router.on_joined(now);
        context.members.set_state(now, member_state::ready);
        context.emit(event("ready").with("service",
                                         context.members.self().service_name));
    }

    auto withdraw_if_server_lost(millis now) -> void
    {
        const auto& self = context.members.self();
        const auto withdraw = server_lost && !draining &&
                              now - lost_at >= server_lost_grace &&
                              self.state == member_state::ready;
        if (withdraw)
        {
            context.emit(event("server_lost", event_level::warning)
                             .with("service", self.service_name));
            context.members.set_state(now, member_state::joining);
        }
    }

    auto housekeep(millis now) -> void
    {
        if (now < next_housekeeping)
        {
            return;
        }
        next_housekeeping = now + housekeeping_interval;
        const auto expired = context.flows.erase_if(
            [&](const flow_key& key, const flow_row& row)
            {
                const auto idle = !row.handing_over &&
                                  now - row.last_used > flow_idle_max &&
                                  !requests.has_work(now, key);
                if (idle)
                {
                    context.hooks.close_session(key);
                }
                return idle;
            });
        context.counters.add(agent_counter::flows_expired, expired);
        context.redirects.expire(now, redirect_idle_max);
    }

    agent_context context;
    transfer_table transfers;
    redirect_announcer announcer;
    request_path requests;
    flow_mover mover;
    flow_router router;
    incarnation_number seen_incarnation = 0;
    bool joining = false;
    bool server_ready = false;
    bool server_lost = false;
    millis lost_at;
    bool draining = false;
    millis draining_since;
    millis ticked_at;
    millis next_housekeeping;
};

agent_core::agent_core(const member_record& self,
                       std::vector<endpoint> start_addresses,
                       membership_settings settings, agent_hooks hooks,
                       std::uint64_t seed)
    : state_(std::make_unique<state>(self, std::move(start_addresses), settings,
                                     std::move(hooks), seed))
{
    state_->requests.set_slots(state_->context.members.self().slots);
}

agent_core::~agent_core() = default;

auto agent_core::adopt(millis now, std::shared_ptr<const configuration> next)
    -> bool
{
    auto& context = state_->context;
    const auto held = context.config == nullptr ? 0 : context.config->version;
    if (next == nullptr || next->version <= held)
    {
        return false;
    }
    const auto* before = context.own_service();
    const auto old_methods =
        before == nullptr ? default_repeatable_methods : before->repeatable;
    const auto first = context.config == nullptr;
    context.config = std::move(next);
    const auto* own = context.own_service();
    if (own != nullptr)
    {
        // While members have different configurations, a method may be repeated
        // only if both versions allow it.
        context.repeatable =
            first ? own->repeatable : (own->repeatable & old_methods);
        state_->requests.set_policy(context.config->policy_of(own->id));
    }
    context.signer = cookie_signer(context.config->cookie_keys);
    context.members.set_held_version(now, context.config->version);
    return true;
}

auto agent_core::on_envelope(millis now, const envelope& message) -> void
{
    state_->refresh_candidates(now);
    state_->router.on_envelope(now, message);
}

auto agent_core::on_server(millis now, const flow_key& flow, byte_view datagram)
    -> void
{
    state_->requests.on_server(now, flow, datagram);
}

auto agent_core::on_server_lost(millis now) -> void
{
    state_->requests.on_server_lost(now);
    if (!state_->server_lost)
    {
        state_->server_lost = true;
        state_->lost_at = now;
    }
    state_->server_ready = false;
}

auto agent_core::on_server_ready(millis now) -> void
{
    if (state_->server_ready)
    {
        return;
    }
    state_->server_ready = true;
    if (state_->server_lost)
    {
        state_->server_lost = false;
        state_->requests.on_server_recovered(now);
    }
    const auto joins =
        !state_->draining &&
        state_->context.members.self().state == member_state::joining;
    if (joins)
    {
        state_->joining = true;
        state_->announcer.start_joining(now);
    }
}

auto agent_core::set_slots(millis now, std::uint32_t slots) -> void
{
    state_->context.members.set_slots(now, slots);
    state_->requests.set_slots(slots);
}

auto agent_core::on_control(millis now, const control_message& message) -> void
{
    auto& context = state_->context;
    if (context.members.on_control(now, message))
    {
        state_->refresh_candidates(now);
        return;
    }
    if (const auto* ack = std::get_if<transfer_ack_message>(&message.body))
    {
        state_->transfers.on_ack(now, message.from, *ack);
        return;
    }
    if (const auto* part = std::get_if<redirects_message>(&message.body))
    {
        state_->announcer.on_redirects(now, message.from, *part);
        context.send_control(message.from,
                             transfer_ack_message{part->sequence, true});
        return;
    }
    if (const auto* move = std::get_if<hand_over_message>(&message.body))
    {
        const auto accepted =
            state_->mover.on_hand_over(now, message.from, *move);
        context.send_control(message.from,
                             transfer_ack_message{move->sequence, accepted});
    }
}

auto agent_core::tick(millis now) -> void
{
    state_->ticked_at = now;
    state_->context.members.tick(now);
    state_->refresh_candidates(now);
    state_->finish_joining(now);
    state_->withdraw_if_server_lost(now);
    state_->requests.tick(now);
    if (state_->is_evacuating(now))
    {
        state_->mover.evacuate_flows(now);
    }
    state_->announcer.tick(now);
    state_->transfers.tick(now);
    state_->mover.tick(now);
    state_->housekeep(now);
}

auto agent_core::drain(millis now) -> void
{
    if (state_->draining)
    {
        return;
    }
    state_->draining = true;
    state_->draining_since = now;
    state_->joining = false;
    state_->router.on_draining(now);
    state_->context.members.set_state(now, member_state::draining);
    state_->refresh_candidates(now);
    state_->context.emit(event("draining")
                             .with("flows", static_cast<std::uint64_t>(
                                                state_->context.flows.size())));
}

auto agent_core::is_drained() const -> bool
{
    return state_->draining && state_->context.flows.empty() &&
           state_->transfers.size() == 0 && state_->context.held.size() == 0 &&
           state_->ticked_at - state_->draining_since >= drain_duration_min;
}

auto agent_core::members() -> member_view&
{
    return state_->context.members;
}

auto agent_core::has_configuration() const -> bool
{
    return state_->context.config != nullptr;
}

auto agent_core::flow_count() const -> std::size_t
{
    return state_->context.flows.size();
}

auto agent_core::visit_counters(
    const std::function<void(std::string_view, std::uint64_t)>& visit) const
    -> void
{
    for (std::size_t n = 0; n < agent_counter_count; ++n)
    {
        const auto which = static_cast<agent_counter>(n);
        visit(to_string(which), state_->context.counters.get(which));
    }
    visit("flows", state_->context.flows.size());
    visit("streams", state_->requests.stream_count());
    visit("in_progress", state_->requests.in_progress());
}

} // namespace briardrum
