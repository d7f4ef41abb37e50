#ifndef BRIARDRUM_PACKETS_AGENT_SERVER_PACKET_HANDLER_HPP
#define BRIARDRUM_PACKETS_AGENT_SERVER_PACKET_HANDLER_HPP

#include "packets/agent/flow_opener.hpp"
#include "packets/agent/owner_locator.hpp"

namespace briardrum
{

// Handles the packets of the backend server beside the agent: answers for
// callers, resets, and packets that the server returned.
class server_packet_handler
{
public:
    server_packet_handler(agent_state& state, flow_opener& opener,
                          owner_locator& locator, ownership_notices& notices);

    auto on_packet(millis now, const flow_packet& packet) -> void;

    // A new incarnation of the server has replaced the one that held the flows.
    auto drop_server_flows(millis now) -> void;

    // No server process runs: its flows are lost, and flows that it has not
    // accepted yet are offered to other agents.
    auto drop_flows_of_absent_server(millis now) -> void;

private:
    auto drop_flow(millis now, const flow_key& flow, std::string_view reason)
        -> void;
    auto on_answer(millis now, const flow_key& flow, owned_flow& row,
                   const flow_packet& packet) -> void;
    auto judge_answer(millis now, const flow_key& flow, const owned_flow& row,
                      const flow_packet& packet) -> void;
    auto on_returned(millis now, const flow_packet& packet) -> void;
    auto withhold_reset(millis now, const flow_key& flow, const owned_flow* row)
        -> void;
    auto is_in_use(millis now, const owned_flow& row) const -> bool;
    auto reset_flow(const flow_key& flow, const owned_flow& row,
                    std::string_view reason) -> void;
    auto adopt_from_server(millis now, const flow_key& flow,
                           const flow_packet& packet) -> owned_flow&;

    agent_state& state_;
    flow_opener& opener_;
    owner_locator& locator_;
    ownership_notices& notices_;
};

} // namespace briardrum

#endif
