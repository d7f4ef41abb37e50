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

// What the parts of an agent share: its tables, its view of members, its
// configuration and its way out. Owned by agent_core, which outlives them.
struct agent_context
{
    agent_context(const member_record& self,
                  std::vector<endpoint> start_addresses,
                  membership_settings settings, agent_hooks to_outside,
                  std::uint64_t seed);

    // The service our backend server announced, or nullptr while the
    // configuration does not know it.
    auto own_service() const -> const service*;

    // True when this agent may become a new flow's owner.
    auto takes_new_flows() const -> bool;

    // Sends an envelope on to another agent; false when that is not possible.
    auto pass_on(const envelope& message, member_id to, bool placed) -> bool;

    // Sends a datagram to a caller through the flow's balancer, or through
    // another when that one is gone.
    auto send_to_caller(const flow_key& flow, byte_view datagram) -> void;

    // Sends a control message to a member; dropped when it is not known.
    auto send_control(member_id to, control_body body) -> void;

    auto emit(const event& item) const -> void;

    // Emits a debug event about one flow, if anybody listens.
    auto trace(std::string_view name, const flow_key& flow,
               std::string_view key, std::uint64_t value) const -> void;

    // Called by request_path: how full the server is, for answers.
    std::uint8_t saturation = 0;

    agent_hooks hooks;
    member_view members;
    // The life this process started with, which its cookies name. The view's
    // own life may rise later, when others took this process for dead.
    incarnation boot_life;
    std::shared_ptr<const configuration> config;
    // Methods that may be repeated under the newest two configurations.
    method_set repeatable = default_repeatable_methods;
    cookie_signer mint;
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
