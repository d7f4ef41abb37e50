#ifndef BRIARDRUM_PACKETS_AGENT_LOCAL_SERVER_HPP
#define BRIARDRUM_PACKETS_AGENT_LOCAL_SERVER_HPP

#include "packets/agent/server_heartbeat.hpp"

#include <optional>

namespace briardrum
{

// What a heartbeat changed.
enum class heartbeat_outcome : std::uint8_t
{
    // Nothing that matters to flows.
    renewed,
    // The server's state, service or slots are new.
    changed,
    // Another incarnation: the earlier one's flows are gone.
    replaced,
    // A late heartbeat of the same incarnation; nothing was changed.
    late,
    // From an incarnation that was replaced since; nothing was changed.
    outdated,
};

auto to_string(heartbeat_outcome outcome) -> std::string_view;

// What the agent knows of the backend server beside it: who it is, and
// whether it is alive.
class local_server
{
public:
    // Silent heartbeats after which a server that answers nothing else is
    // taken for gone: one may be lost, and one may be late.
    static constexpr int heartbeats_missed_max = 3;
    // An opening packet reaches the server and is answered within the VM;
    // this is far above the slowest answer of a server that lives.
    static constexpr millis opening_answer_timeout = milliseconds(150);
    // Between two opening packets that try a silent server again.
    static constexpr millis retry_interval = milliseconds(250);

    // service_name as the settings give it, until the server says more.
    local_server(std::string service_name, millis heartbeat_interval);

    auto on_heartbeat(millis now, const server_heartbeat& heartbeat)
        -> heartbeat_outcome;

    // The server said that it leaves for good; false for another server.
    auto on_leave(millis now, const std::string& server_id) -> bool;

    // Any packet of the server.
    auto on_packet(millis now) -> void;

    // An opening packet was handed to the server, or got its answer.
    auto on_opening_sent(millis now) -> void;
    auto on_opening_answered(millis now) -> void;

    // The server's process is not there: it refused an opening packet.
    auto on_opening_refused(millis now) -> void;

    // True when the server may get new flows.
    auto accepts_new_flows(millis now) const -> bool;

    // True when opening packets go unanswered.
    auto is_silent(millis now) const -> bool;

    auto is_draining() const -> bool;
    auto is_known() const -> bool;

    // True when flows may be open at the server that this agent never saw:
    // the server is older than the agent.
    auto predates_agent() const -> bool;

    auto service_name() const -> const std::string&;
    auto slots() const -> std::uint32_t;

    // The incarnation by its start; 0 before the first heartbeat.
    auto incarnation_started() const -> millis;

private:
    std::string service_name_;
    millis heartbeat_interval_;
    std::optional<server_heartbeat> last_heartbeat_;
    millis last_heard_at_;
    millis last_heartbeat_at_;
    // When the oldest unanswered opening packet was sent; none when 0.
    std::optional<millis> unanswered_since_;
    millis last_attempt_at_;
    std::optional<millis> refused_at_;
    bool left_ = false;
    bool predates_agent_ = true;
};

} // namespace briardrum

#endif
