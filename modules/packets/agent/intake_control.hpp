#ifndef BRIARDRUM_PACKETS_AGENT_INTAKE_CONTROL_HPP
#define BRIARDRUM_PACKETS_AGENT_INTAKE_CONTROL_HPP

#include "packets/agent/agent_state.hpp"

namespace briardrum
{

// Passes the judgement of the server to the bound, and the outcome to the
// members' records, the log and the counters.
class intake_control
{
public:
    explicit intake_control(agent_state& state);

    auto tick(millis now) -> void;

private:
    auto report_judgement(conduct_change change) -> void;
    auto report_intake(bool was_reduced) -> void;
    auto list_others() const -> std::vector<conduct_peer>;

    agent_state& state_;
};

} // namespace briardrum

#endif
