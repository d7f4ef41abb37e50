#include "node/agent/flow_router.hpp"

#include <string>

namespace briardrum
{

namespace
{

// A server that has just become ready asks the next in the order about flows
// that it does not know, since a redirect may still be on its way.
constexpr millis join_grace = seconds(10);

// Flows of a draining agent that always have a request in progress get no
// further one after this time, so that they can be handed over.
constexpr millis drain_patience = seconds(1);

} // namespace

flow_router::flow_router(agent_context& context, redirect_announcer& announcer,
                         request_path& requests)
    : context_(context), announcer_(announcer), requests_(requests)
{
}

auto flow_router::on_envelope(millis now, const envelope& message) -> void
{
    context_.counters.add(agent_counter::datagrams);
    if (!is_for_us(message))
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
    asks_until_ = now + join_grace;
}

auto flow_router::on_draining(millis now) -> void
{
    draining_ = true;
    draining_since_ = now;
}

auto flow_router::is_for_us(const envelope& message) -> bool
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
    const auto stale = message.target != self.id ||
                       (message.target_incarnation != 0 &&
                        message.target_incarnation < context_.boot_life);
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
    if (must_wait(now, flow))
    {
        context_.held.hold(flow, message);
        return;
    }
    requests_.on_request(now, flow, message, view);
}

auto flow_router::must_wait(millis now, const flow_key& flow) const -> bool
{
    const auto* row = context_.flows.find(flow);
    return draining_ && now - draining_since_ >= drain_patience &&
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
    // An owner that is not known yet is not gone: its caller retransmits.
    const auto gone = owner != nullptr && (owner->life > found->owner_life ||
                                           owner->state >= member_state::left);
    // The owner itself sent it here: it does not have the flow any more.
    if (gone || message.from_agent == found->owner)
    {
        context_.trace("redirect_dropped", flow, "from", message.from_agent);
        context_.redirects.erase(flow);
        return false;
    }
    context_.pass_on(message, found->owner, false);
    return true;
}

auto flow_router::follow_cookie(const flow_key& flow, const envelope& message,
                                const coap_view& view) -> bool
{
    if (view.echo.empty() || message.hops != 0)
    {
        return false;
    }
    const auto claims = context_.mint.verify(view.echo, flow);
    if (!claims.ok() || claims->owner == context_.members.self().id)
    {
        return false;
    }
    const auto* owner = context_.members.find(claims->owner);
    const auto alive = owner != nullptr && owner->life == claims->life &&
                       owner->state < member_state::left;
    return alive && context_.pass_on(message, claims->owner, false);
}

auto flow_router::place(millis now, const flow_key& flow,
                        const envelope& message, const coap_view& view) -> void
{
    const auto self = context_.members.self().id;
    const auto order = rendezvous_order(flow, context_.candidates.serving());
    const auto can_own = context_.takes_new_flows();
    const auto at_home = !order.empty() && order.front() == self;
    if (can_own && message.placed)
    {
        own(now, flow, message);
        requests_.on_request(now, flow, message, view);
        return;
    }
    if (can_own && at_home)
    {
        const auto asks =
            now < asks_until_ && message.hops == 0 && order.size() > 1;
        if (asks && context_.pass_on(message, order.at(1), false))
        {
            return;
        }
        own(now, flow, message);
        requests_.on_request(now, flow, message, view);
        return;
    }
    for (const auto id : order)
    {
        if (id != self)
        {
            context_.pass_on(message, id, false);
            return;
        }
    }
    context_.counters.add(agent_counter::dropped);
}

auto flow_router::own(millis now, const flow_key& flow, const envelope& message)
    -> void
{
    auto& row = context_.flows.insert(flow);
    row.balancer = message.balancer;
    row.last_used = now;
    context_.counters.add(agent_counter::flows_placed);
    context_.trace("flow_placed", flow, "hops", message.hops);
    announcer_.on_flow_owned(now, flow);
}

} // namespace briardrum
