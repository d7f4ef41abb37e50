#ifndef BRIARDRUM_PACKETS_AGENT_OWNERSHIP_NOTICES_HPP
#define BRIARDRUM_PACKETS_AGENT_OWNERSHIP_NOTICES_HPP

#include "packets/agent/agent_state.hpp"

namespace briardrum
{

// Tells other agents which flows this agent owns.
//
// The first agents in the rendezvous order of a flow are notified of its owner,
// because balancers send packets without a hint to them.
class ownership_notices
{
public:
    explicit ownership_notices(agent_state& state);

    // Notifies the first agents of the order that have not been notified yet.
    auto announce(const flow_key& flow, owned_flow& row) -> void;

    // Call on each tick: announces every flow again after members have changed.
    auto reannounce() -> void;

    // Tells the balancer that sent a hedge that the server has answered it.
    auto report_hedge(const owned_flow& row) -> void;

    // Answers a search with owned or unowned.
    auto answer(const endpoint& from, const flow_packet& packet,
                label_kind kind) -> void;

private:
    agent_state& state_;
    std::uint64_t announced_epoch_ = 0;
};

} // namespace briardrum

#endif
