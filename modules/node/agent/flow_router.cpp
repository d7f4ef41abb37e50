#include "node/agent/flow_router.hpp"

#include <string>

namespace briardrum
{

namespace
{

// How long a newly ready agent forwards unknown flows to the next agent in
// rendezvous order, since a redirect may still be in flight.
constexpr millis join_grace = seconds(10);

// After this time, a draining agent holds new requests of flows that always
// have one in progress, so that these flows can be handed over.
constexpr millis drain_hold_delay = seconds(1);

} // namespace

flow_router::flow_router(agent_context& context, redirect_announcer& announcer,
                         request_path& requests)
    : context_(context), announcer_(announcer), requests_(requests)
{
}

auto flow_router::on_envelope(millis now, const envelope& message) -> void
{
    context_.counters.add(agent_counter::datagrams);
    if (!is_for_this_agent(message))
    {
        return;
    }
    const auto view = read_coap(message.datagram);
    if (!view.ok())
    {
        context_.counters.add(agent_counter::malformed);
        return;
    }
    const flow_key flow{message.caller, message.service};
    const auto* row = context_.flows.find(flow);
    if (row != nullptr)
    {
        serve(now, flow, message, *view);
        return;
    }
    if (follow_redirect(now, flow, message))
    {
        return;
    }
    if (!view->is_request())
    {
        context_.counters.add(agent_counter::dropped);
        return;
    }
    if (follow_cookie(flow, message, *view))
    {
        return;
    }
    place(now, flow, message, *view);
}

auto flow_router::on_joined(millis now) -> void
{
    forwards_unknown_until_ = now + join_grace;
}

auto flow_router::on_draining(millis now) -> void
{
    draining_ = true;
    draining_since_ = now;
}

auto flow_router::is_for_this_agent(const envelope& message) -> bool
{
    const auto* own = context_.own_service();
    if (own == nullptr || message.kind != envelope_kind::request)
    {
        context_.counters.add(agent_counter::dropped);
        return false;
    }
    if (message.service != own->id)
    {
        context_.counters.add(agent_counter::unknown_service);
        context_.emit(event("misdelivered", event_level::warning)
                          .with("meant_for", std::uint64_t{message.service})
                          .with("service", own->name));
        return false;
    }
    const auto& self = context_.members.self();
    const auto stale =
        message.target != self.id ||
        (message.target_incarnation != 0 &&
         message.target_incarnation < context_.initial_incarnation);
    if (stale)
    {
        context_.counters.add(agent_counter::wrong_incarnation);
        return false;
    }
    return true;
}

auto flow_router::serve(millis now, const flow_key& flow,
                        const envelope& message, const coap_view& view) -> void
{
    auto& row = *context_.flows.find(flow);
    if (message.balancer != 0)
    {
        row.balancer = message.balancer;
    }
    if (row.handing_over)
    {
        if (!context_.held.hold(flow, message))
        {
            context_.counters.add(agent_counter::dropped);
        }
        return;
    }
    if (!view.is_request())
    {
        requests_.on_caller_reply(now, flow, view);
        return;
    }
    if (must_hold(now, flow))
    {
        context_.held.hold(flow, message);
        return;
    }
    requests_.on_request(now, flow, message, view);
}

auto flow_router::must_hold(millis now, const flow_key& flow) const -> bool
{
    const auto* row = context_.flows.find(flow);
    return draining_ && now - draining_since_ >= drain_hold_delay &&
           now >= row->busy_until && !context_.candidates.serving().empty() &&
           !requests_.can_move(now, flow);
}

auto flow_router::follow_redirect(millis now, const flow_key& flow,
                                  const envelope& message) -> bool
{
    const auto* found = context_.redirects.touch(now, flow);
    if (found == nullptr)
    {
        return false;
    }
    const auto* owner = context_.members.find(found->owner);
    // An owner that is not in the member view yet is not considered gone: the
    // caller retransmits.
    const auto gone =
        owner != nullptr && (owner->incarnation > found->owner_life ||
                             owner->state >= member_state::left);
    // If the owner itself forwarded the message here, it no longer has the
    // flow.
    if (gone || message.from_agent == found->owner)
    {
        context_.trace("redirect_dropped", flow, "from", message.from_agent);
        context_.redirects.erase(flow);
        return false;
    }
    context_.forward_to_agent(message, found->owner, false);
    return true;
}

auto flow_router::follow_cookie(const flow_key& flow, const envelope& message,
                                const coap_view& view) -> bool
{
    if (view.echo.empty() || message.hops != 0)
    {
        return false;
    }
    const auto claims = context_.signer.verify(view.echo, flow);
    if (!claims.ok() || claims->owner == context_.members.self().id)
    {
        return false;
    }
    const auto* owner = context_.members.find(claims->owner);
    const auto alive = owner != nullptr && owner->incarnation == claims->life &&
                       owner->state < member_state::left;
    return alive && context_.forward_to_agent(message, claims->owner, false);
}

auto flow_router::place(millis now, const flow_key& flow,
                        const envelope& message, const coap_view& view) -> void
{
    const auto self = context_.members.self().id;
    const auto order = rendezvous_order(flow, context_.candidates.serving());
    const auto can_accept = context_.accepts_new_flows();
    const auto at_home = !order.empty() && order.front() == self;
    if (can_accept && message.placed)
    {
        become_owner(now, flow, message);
        requests_.on_request(now, flow, message, view);
        return;
    }
    if (can_accept && at_home)
    {
        const auto try_next = now < forwards_unknown_until_ &&
                              message.hops == 0 && order.size() > 1;
        if (try_next && context_.forward_to_agent(message, order.at(1), false))
        {
            return;
        }
        become_owner(now, flow, message);
        requests_.on_request(now, flow, message, view);
        return;
    }
    for (const auto id : order)
    {
        if (id != self)
        {
            context_.forward_to_agent(message, id, false);
            return;
        }
    }
    context_.counters.add(agent_counter::dropped);
}

auto flow_router::become_owner(millis now, const flow_key& flow,
                               const envelope& message) -> void
{
    auto& row = context_.flows.insert(flow);
    row.balancer = message.balancer;
    row.last_used = now;
    context_.counters.add(agent_counter::flows_placed);
    context_.trace("flow_placed", flow, "hops", message.hops);
    announcer_.on_flow_owned(now, flow);
}

} // namespace briardrum
