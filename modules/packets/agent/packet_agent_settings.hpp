#ifndef BRIARDRUM_PACKETS_AGENT_PACKET_AGENT_SETTINGS_HPP
#define BRIARDRUM_PACKETS_AGENT_PACKET_AGENT_SETTINGS_HPP

#include "packets/agent/flow_admission.hpp"

#include <optional>
#include <string>

namespace briardrum
{

// Start-up settings of a packet_agent.
struct packet_agent_settings
{
    std::string service_name;
    millis heartbeat_interval = seconds(1);
    admission_settings admission;
    // Payload size of a full packet, which is followed by more packets of the
    // same request.
    std::uint16_t full_payload_bytes = 1200;
    // Maximum lifetime of a flow. For this long after its start, an agent must
    // expect flows that it has never seen.
    millis flow_lifetime = seconds(60);
    // Maximum number of agents that an opening packet is offered to before it
    // is queued. At 75 percent load with two slots per agent, the probability
    // that eight agents in a row are full is below 5 percent.
    std::uint8_t offers_max = 8;
    // Slow start: a cold server may get the rate of its service times the
    // overshoot plus the slack, in opening packets per second. Off without
    // warm_up_overshoot.
    std::optional<double> warm_up_overshoot;
    std::optional<double> warm_up_slack;
    // No flow is started before the placement policy is known.
    bool needs_policy = false;
    // The server may fail requests while its health check passes, and is judged
    // by its answers.
    bool judge_server = false;
};

} // namespace briardrum

#endif
