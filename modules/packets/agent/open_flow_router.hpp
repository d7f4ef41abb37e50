#ifndef BRIARDRUM_PACKETS_AGENT_OPEN_FLOW_ROUTER_HPP
#define BRIARDRUM_PACKETS_AGENT_OPEN_FLOW_ROUTER_HPP

#include "packets/agent/flow_opener.hpp"
#include "packets/agent/owner_locator.hpp"

namespace briardrum
{

// Routes the packets of callers on flows that are already open: to the server
// beside this agent if it holds the flow, or else to the owner.
class open_flow_router
{
public:
    open_flow_router(agent_state& state, flow_opener& opener,
                     owner_locator& locator, ownership_notices& notices);

    // Call for each packet of a caller that does not open a flow. from is the
    // process that forwarded it.
    auto on_packet(millis now, const endpoint& from, const flow_packet& packet)
        -> void;

private:
    auto on_unknown_flow(millis now, const endpoint& from,
                         const flow_packet& packet) -> void;
    auto deliver(millis now, const flow_key& flow, owned_flow& row,
                 const flow_packet& packet) -> void;
    auto note_request(millis now, const flow_key& flow, owned_flow& row,
                      const flow_packet& packet) -> void;
    auto is_open_at_another_server(const owned_flow& row,
                                   const flow_packet& packet) const -> bool;
    auto is_lost_hedge(const owned_flow& row, const flow_packet& packet) const
        -> bool;
    auto on_lost_hedge(millis now, const endpoint& from, const flow_key& flow,
                       const flow_packet& packet) -> void;
    auto on_hedge_won(millis now, const flow_key& flow, owned_flow& row)
        -> void;
    auto note_gap(const flow_key& flow, owned_flow& row,
                  const flow_packet& packet) -> void;
    auto answer_search(const endpoint& from, owned_flow& row,
                       const flow_packet& packet) -> void;
    auto probe_server(millis now, const flow_packet& packet) -> owned_flow&;
    auto abandon_probe(millis now, const flow_packet& packet) -> void;

    agent_state& state_;
    flow_opener& opener_;
    owner_locator& locator_;
    ownership_notices& notices_;
};

} // namespace briardrum

#endif
