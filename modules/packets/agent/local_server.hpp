#ifndef BRIARDRUM_PACKETS_AGENT_LOCAL_SERVER_HPP
#define BRIARDRUM_PACKETS_AGENT_LOCAL_SERVER_HPP

#include "packets/agent/server_heartbeat.hpp"

#include <optional>

namespace briardrum
{

// Effect of a heartbeat.
enum class heartbeat_outcome : std::uint8_t
{
    // No change that affects flows.
    renewed,
    // The state, the service or the slots of the server have changed.
    changed,
    // A new incarnation: the flows of the previous one are lost.
    replaced,
    // An out-of-order heartbeat of the same incarnation, which was ignored.
    late,
    // A heartbeat of an incarnation that has since been replaced, which was
    // ignored.
    outdated,
};

auto to_string(heartbeat_outcome outcome) -> std::string_view;

// State of the backend server beside the agent: its identity, and whether it is
// alive.
class local_server
{
public:
    // Missed heartbeats after which a server that sends no packets either is
    // considered gone: one may be lost, and one may be late.
    static constexpr int heartbeats_missed_max = 3;
    // After this many intervals of heartbeats with rising sequence numbers that
    // are all lower than that of the last one, the last one was false.
    static constexpr int intervals_until_restarted = 2;
    // An opening packet is delivered and answered within the VM; this is far
    // above the slowest answer of a live server.
    static constexpr millis opening_answer_timeout = milliseconds(150);
    // Time without a heartbeat, in tenths of the interval, after which one is
    // overdue.
    static constexpr int overdue_tenths = 13;
    // Time after the start of the agent from which a server that has not sent a
    // heartbeat is looked for. If no process runs then, no flow is left from
    // before the start, which callers wait to hear after a power loss.
    static constexpr millis first_heartbeat_timeout = milliseconds(20);
    // Interval between attempts to send an opening packet to an unresponsive
    // server.
    static constexpr millis retry_interval = milliseconds(250);

    // service_name comes from the settings, and is replaced by the one in each
    // heartbeat.
    local_server(std::string service_name, millis heartbeat_interval);

    auto on_heartbeat(millis now, const server_heartbeat& heartbeat)
        -> heartbeat_outcome;

    // Call when the server announces that it is leaving permanently. Returns
    // false if server_id belongs to another server.
    auto on_leave(millis now, const std::string& server_id) -> bool;

    // Call for every packet from the server.
    auto on_packet(millis now) -> void;

    // Call when an opening packet was sent to the server, and when it was
    // answered.
    auto on_opening_sent(millis now) -> void;
    auto on_opening_answered(millis now) -> void;

    // Call when the server refused an opening packet, which means that its
    // process is not running.
    auto on_opening_refused(millis now) -> void;

    // Returns true if there is reason to doubt that the server process runs: a
    // heartbeat is overdue, or opening packets are refused or unanswered.
    // agent_started is the start time of the agent.
    auto is_in_doubt(millis now, millis agent_started) const -> bool;

    // Call when no server process was found in a check that began at this time.
    // Returns true if the server is absent from now on: it has sent nothing
    // since, and was not absent before.
    auto on_not_found(millis now, millis checked_at) -> bool;

    // Returns true if no server process runs on this VM. Lasts until the first
    // heartbeat of the next one.
    auto is_absent() const -> bool;

    // Returns true if new flows may be sent to the server.
    auto accepts_new_flows(millis now) const -> bool;

    // Returns true if opening packets go unanswered.
    auto is_silent(millis now) const -> bool;

    // Returns true if the server has announced that it is leaving for good.
    auto has_left() const -> bool;

    auto is_draining() const -> bool;
    auto is_known() const -> bool;

    // Returns true if the server is older than the agent, and so may hold flows
    // that the agent has never seen.
    auto predates_agent() const -> bool;

    auto service_name() const -> const std::string&;
    auto slots() const -> std::uint32_t;

    // Id and start time of the current incarnation; empty and 0 before the
    // first heartbeat.
    auto server_id() const -> std::string_view;
    auto incarnation_started() const -> millis;

    // Times of the last heartbeat of the current incarnation, and of the last
    // heartbeat or packet.
    auto last_heartbeat_at() const -> millis;
    auto last_heard_at() const -> millis;

private:
    // Heartbeats that were taken for late, one after the other.
    struct lower_sequences
    {
        std::uint64_t last = 0;
        millis since;
        millis last_at;
    };

    auto on_same_incarnation(millis now, const server_heartbeat& heartbeat)
        -> heartbeat_outcome;
    auto may_have_started_since_check(millis now,
                                      const server_heartbeat& heartbeat) const
        -> bool;
    auto is_sequence_restarted(millis now, std::uint64_t sequence) -> bool;

    std::string service_name_;
    millis heartbeat_interval_;
    std::optional<server_heartbeat> last_heartbeat_;
    // Empty after each heartbeat that counted.
    std::optional<lower_sequences> lower_sequences_;
    millis last_heard_at_;
    millis last_heartbeat_at_;
    // Time at which the oldest unanswered opening packet was sent; empty if
    // there is none.
    std::optional<millis> unanswered_since_;
    millis last_attempt_at_;
    std::optional<millis> refused_at_;
    bool left_ = false;
    bool absent_ = false;
    // When the server was last found to be absent.
    millis not_found_at_;
    bool predates_agent_ = true;
};

} // namespace briardrum

#endif
