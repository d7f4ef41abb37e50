#ifndef BRIARDRUM_NODE_AGENT_FLOW_ROUTER_HPP
#define BRIARDRUM_NODE_AGENT_FLOW_ROUTER_HPP

#include "node/agent/agent_context.hpp"
#include "node/agent/redirect_announcer.hpp"
#include "node/agent/request_path.hpp"

namespace briardrum
{

// Decides for each caller datagram whether its flow is owned by this agent, is
// owned by another agent, or is new and has to be placed.
class flow_router
{
public:
    flow_router(agent_context& context, redirect_announcer& announcer,
                request_path& requests);

    auto on_envelope(millis now, const envelope& message) -> void;

    // Called when this agent becomes ready. For a while it then forwards
    // unknown flows to the next agent in rendezvous order.
    auto on_joined(millis now) -> void;

    auto on_draining(millis now) -> void;

private:
    // Returns false if the envelope is for another service or incarnation.
    auto is_for_this_agent(const envelope& message) -> bool;
    auto serve(millis now, const flow_key& flow, const envelope& message,
               const coap_view& view) -> void;
    auto must_hold(millis now, const flow_key& flow) const -> bool;
    auto follow_redirect(millis now, const flow_key& flow,
                         const envelope& message) -> bool;
    auto follow_cookie(const flow_key& flow, const envelope& message,
                       const coap_view& view) -> bool;
    auto place(millis now, const flow_key& flow, const envelope& message,
               const coap_view& view) -> void;
    auto become_owner(millis now, const flow_key& flow, const envelope& message)
        -> void;

    agent_context& context_;
    redirect_announcer& announcer_;
    request_path& requests_;
    millis forwards_unknown_until_;
    bool draining_ = false;
    millis draining_since_;
};

} // namespace briardrum

#endif
