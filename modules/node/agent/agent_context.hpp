#ifndef BRIARDRUM_NODE_AGENT_AGENT_CONTEXT_HPP
#define BRIARDRUM_NODE_AGENT_AGENT_CONTEXT_HPP

#include "config/config.hpp"
#include "core/core.hpp"
#include "membership/membership.hpp"
#include "node/agent/agent_counters.hpp"
#include "node/agent_core.hpp"
#include "requests/requests.hpp"
#include "routing/routing.hpp"

#include <memory>

namespace briardrum
{

// State shared by the parts of an agent: tables, member view, configuration and
// hooks. Owned by agent_core, which outlives the parts.
struct agent_context
{
    agent_context(const member_record& self,
                  std::vector<endpoint> start_addresses,
                  membership_settings settings, agent_hooks hooks_in,
                  std::uint64_t seed);

    // The service that the backend server announced, or nullptr while the
    // configuration does not contain it.
    auto own_service() const -> const service*;

    // Returns true if this agent may become the owner of a new flow.
    auto accepts_new_flows() const -> bool;

    // Forwards an envelope to another agent. Returns false if that agent is
    // unknown or the hop limit is reached.
    auto forward_to_agent(const envelope& message, member_id to, bool placed)
        -> bool;

    // Sends a datagram to a caller through the flow's balancer, or through
    // another one if that balancer is unavailable.
    auto send_to_caller(const flow_key& flow, byte_view datagram) -> void;

    // Sends a control message to a member; dropped if the member is unknown.
    auto send_control(member_id to, control_body body) -> void;

    auto emit(const event& item) const -> void;

    // Emits a debug event about one flow if an event sink is set.
    auto trace(std::string_view name, const flow_key& flow,
               std::string_view key, std::uint64_t value) const -> void;

    // Load of the backend server in percent, sent with answers. Updated by
    // request_path.
    std::uint8_t saturation = 0;

    agent_hooks hooks;
    member_view members;
    // The incarnation with which this process started, which its cookies
    // contain. The incarnation in the member view may grow later, when other
    // members declared this process dead.
    incarnation_number initial_incarnation;
    std::shared_ptr<const configuration> config;
    // Methods that may be repeated under both of the two newest configurations.
    method_set repeatable = default_repeatable_methods;
    cookie_signer signer;
    service_candidates candidates;
    flow_table flows;
    redirect_table redirects;
    held_packets<envelope> held;
    agent_counters counters;

private:
    auto choose_balancer(const flow_key& flow) const -> const member_record*;
};

} // namespace briardrum

#endif
