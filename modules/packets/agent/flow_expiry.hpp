#ifndef BRIARDRUM_PACKETS_AGENT_FLOW_EXPIRY_HPP
#define BRIARDRUM_PACKETS_AGENT_FLOW_EXPIRY_HPP

#include "packets/agent/agent_state.hpp"

namespace briardrum
{

// Releases the slots of flows whose end is unresponsive, and removes flows that
// have ended or have been idle for too long.
class flow_expiry
{
public:
    explicit flow_expiry(agent_state& state);

    auto tick(millis now) -> void;

private:
    auto release_slot_if_stuck(millis now, const flow_key& flow,
                               owned_flow& row) -> void;
    auto is_expired(millis now, const owned_flow& row) const -> bool;

    agent_state& state_;
    millis next_expiry_;
    millis next_table_expiry_;
};

} // namespace briardrum

#endif
