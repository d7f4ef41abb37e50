#ifndef BRIARDRUM_NODE_AGENT_REDIRECT_ANNOUNCER_HPP
#define BRIARDRUM_NODE_AGENT_REDIRECT_ANNOUNCER_HPP

#include "node/agent/agent_context.hpp"

#include <set>
#include <vector>

namespace briardrum
{

// Tells other agents where this agent's flows live, whenever a datagram might
// reach one of them first: the home of each flow, and servers that are joining
// and will be its home. Serves joiners, and is how this agent itself joins: it
// is ready once every other agent of the service has told it all.
class redirect_announcer
{
public:
    // How long a joiner waits for a peer that does not answer.
    static constexpr millis join_timeout = seconds(5);
    // How long a joiner waits at least, so that its peers hear of it.
    static constexpr millis join_duration_min = milliseconds(800);

    redirect_announcer(agent_context& context, transfer_table& transfers);

    // A flow became this agent's.
    auto on_flow_owned(millis now, const flow_key& flow) -> void;

    // The own life or the set of servers changed.
    auto on_candidates_changed(millis now) -> void;

    // Another agent's redirects; to be acknowledged by the caller.
    auto on_redirects(millis now, member_id from,
                      const redirects_message& message) -> void;

    // Begins to join; asks nothing of anybody, since all see the record.
    auto start_joining(millis now) -> void;

    // True when every live agent of the service has told all, or the bound
    // has passed.
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
    // Joiners that were told all, with the life they were told in.
    table<member_id, incarnation_number> informed_joiners_;
    // Peers that told us all since we began to join, and those they named.
    std::set<member_id> completed_peers_;
    std::set<member_id> known_peers_;
    millis joining_since_;
    incarnation_number last_incarnation_ = 0;
};

} // namespace briardrum

#endif
