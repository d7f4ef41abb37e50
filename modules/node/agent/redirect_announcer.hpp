#ifndef BRIARDRUM_NODE_AGENT_REDIRECT_ANNOUNCER_HPP
#define BRIARDRUM_NODE_AGENT_REDIRECT_ANNOUNCER_HPP

#include "node/agent/agent_context.hpp"

#include <set>
#include <vector>

namespace briardrum
{

// Tells other agents where this agent's flows are owned, wherever a datagram
// may reach another agent first: the home of each flow, and joining servers
// that will become its home. Also handles this agent's own joining, which ends
// once every other agent of the service has sent all its redirects.
class redirect_announcer
{
public:
    // How long a joining agent waits for a peer that does not answer.
    static constexpr millis join_timeout = seconds(5);
    // Minimum duration of joining, so that the peers learn of this agent.
    static constexpr millis join_duration_min = milliseconds(800);

    redirect_announcer(agent_context& context, transfer_table& transfers);

    // Called when this agent becomes the owner of a flow.
    auto on_flow_owned(millis now, const flow_key& flow) -> void;

    // Called when the own incarnation or the set of servers changes.
    auto on_candidates_changed(millis now) -> void;

    // Handles redirects of another agent; the caller has to acknowledge them.
    auto on_redirects(millis now, member_id from,
                      const redirects_message& message) -> void;

    // Starts joining. Sends no request, since peers react to the own member
    // record.
    auto start_joining(millis now) -> void;

    // Returns true once every live agent of the service has sent all its
    // redirects or the timeout has passed.
    auto has_joined(millis now) const -> bool;

    auto tick(millis now) -> void;

private:
    auto announce(const flow_key& flow, flow_row& row) -> void;
    auto announce_redirect(const redirect_record& record) -> void;
    auto queue_redirect(member_id to, const redirect_record& record) -> void;
    auto send_batches(millis now) -> void;
    auto is_awaiting(member_id peer) const -> bool;
    auto complete_joiners(millis now) -> void;

    agent_context& context_;
    transfer_table& transfers_;
    table<member_id, std::vector<redirect_record>> batches_;
    // Joining agents that were sent all redirects, with their incarnation at
    // that time.
    table<member_id, incarnation_number> informed_joiners_;
    // Peers that sent all their redirects since joining started, and all peers
    // known from these messages.
    std::set<member_id> completed_peers_;
    std::set<member_id> known_peers_;
    millis joining_since_;
    incarnation_number last_incarnation_ = 0;
};

} // namespace briardrum

#endif
