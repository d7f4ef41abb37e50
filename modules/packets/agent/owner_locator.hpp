#ifndef BRIARDRUM_PACKETS_AGENT_OWNER_LOCATOR_HPP
#define BRIARDRUM_PACKETS_AGENT_OWNER_LOCATOR_HPP

#include "packets/agent/agent_state.hpp"
#include "packets/agent/owner_search.hpp"

#include <functional>

namespace briardrum
{

// Finds the agent that owns a flow which is not known here, by asking all
// agents of the service.
//
// Packets of the flow are held until an agent has answered, and are then passed
// to the release hook.
class owner_locator
{
public:
    using release_hook = std::function<void(millis now, const flow_packet&)>;

    owner_locator(agent_state& state, release_hook release);

    // Handles a packet of an unknown flow: asks for the owner, holds the packet
    // while a search is in progress, or drops it.
    auto search(millis now, const flow_packet& packet) -> void;

    auto has_recent_search(const flow_key& flow) const -> bool;

    // Call for the answers of other agents.
    auto on_owned(millis now, const endpoint& from, const flow_packet& notice)
        -> void;
    auto on_unowned(millis now, const endpoint& from, const flow_packet& notice)
        -> void;

    // Call on each tick: drops the packets of searches that have timed out.
    auto report_failed(millis now) -> void;

private:
    agent_state& state_;
    release_hook release_;
    held_packets<flow_packet> held_;
    owner_search searches_;
};

} // namespace briardrum

#endif
