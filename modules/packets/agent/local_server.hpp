#ifndef BRIARDRUM_PACKETS_AGENT_LOCAL_SERVER_HPP
#define BRIARDRUM_PACKETS_AGENT_LOCAL_SERVER_HPP

#include "packets/agent/unconfirmed_incarnations.hpp"

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
    // A new incarnation. The flows of the previous one are lost if its process
    // has ended, and stay if nothing shows that.
    replaced,
    // An out-of-order heartbeat of the same incarnation, which was ignored.
    late,
    // A heartbeat of an incarnation that has since been replaced, which was
    // ignored.
    outdated,
    // A heartbeat that contradicts those of a server that still runs, as far as
    // is known. It may come from another writer, and was ignored.
    unconfirmed,
};

auto to_string(heartbeat_outcome outcome) -> std::string_view;

// Effect of an announcement that a server leaves for good.
enum class leave_outcome : std::uint8_t
{
    // The server has drained, and accepts no flows unless it is heard again.
    left,
    // The server has not drained before, so the announcement may come from
    // another writer.
    doubted,
    // It names another server.
    unknown,
};

auto to_string(leave_outcome outcome) -> std::string_view;

// State of the backend server beside the agent: its identity, and whether it is
// alive.
//
// Heartbeats and leave announcements may come from another writer. What
// contradicts the server as it is known counts only with evidence: its process
// has ended, or its own heartbeats stay away while the others go on. Its own
// next heartbeat refutes them.
class local_server
{
public:
    // Missed heartbeats after which a server that sends no packets either is
    // considered gone: one may be lost, and one may be late.
    static constexpr int heartbeats_missed_max = 3;
    // Heartbeats in order after which a contradicting incarnation, or a state
    // that a server does not return to, is confirmed.
    static constexpr std::uint32_t heartbeats_to_confirm = 2;
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

    // service_name comes from the settings, and is replaced by the one in
    // heartbeats once these are confirmed.
    local_server(std::string service_name, millis heartbeat_interval);

    auto on_heartbeat(millis now, const server_heartbeat& heartbeat)
        -> heartbeat_outcome;

    // Call when the server announces that it is leaving permanently.
    auto on_leave(millis now, const std::string& server_id) -> leave_outcome;

    // Call for every packet from the server.
    auto on_packet(millis now) -> void;

    // Call when an opening packet was sent to the server, and when it was
    // answered.
    auto on_opening_sent(millis now) -> void;
    auto on_opening_answered(millis now) -> void;

    // Call when the server refused an opening packet, which means that its
    // process is not running.
    auto on_opening_refused(millis now) -> void;

    // Call when the server no longer holds an open flow on which it answered a
    // short time ago, which means that its process was replaced.
    auto on_flow_lost(millis now) -> void;

    // Returns true if the process of the current incarnation has ended since
    // its last heartbeat.
    auto has_process_ended() const -> bool;

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

    // Returns true also for a server that is leaving for good.
    auto is_draining() const -> bool;
    auto is_known() const -> bool;

    // Returns true if the server may be older than the agent, and so may hold
    // flows that the agent has never seen.
    auto predates_agent() const -> bool;

    auto service_name() const -> const std::string&;
    auto slots() const -> std::uint32_t;

    // Remaining time for which the server is slow after its start.
    auto warm_up_left(millis now) const -> millis;

    // Id and start time of the current incarnation; empty and 0 before the
    // first heartbeat.
    auto server_id() const -> std::string_view;
    auto incarnation_started() const -> millis;

    // Times of the last heartbeat of the current incarnation, and of the last
    // heartbeat or packet.
    auto last_heartbeat_at() const -> millis;
    auto last_heard_at() const -> millis;

private:
    // Remaining warm-up time as a heartbeat states it.
    struct warm_up_statement
    {
        millis left;
        millis at;
    };

    auto on_first(millis now, const server_heartbeat& heartbeat)
        -> heartbeat_outcome;
    auto on_other_incarnation(millis now, const server_heartbeat& heartbeat)
        -> heartbeat_outcome;
    auto on_other_service(millis now, const server_heartbeat& heartbeat)
        -> heartbeat_outcome;
    auto on_same_incarnation(millis now, const server_heartbeat& heartbeat)
        -> heartbeat_outcome;
    auto on_out_of_order(millis now, const server_heartbeat& heartbeat)
        -> heartbeat_outcome;
    auto adopt(millis now, const unconfirmed_incarnation& next) -> void;
    auto renew(millis now, const server_heartbeat& heartbeat)
        -> heartbeat_outcome;
    auto restart_sequence(millis now, const server_heartbeat& heartbeat)
        -> void;
    auto record(millis now, const server_heartbeat& heartbeat) -> void;
    auto follow_draining(bool draining) -> void;
    auto follow_slots(std::uint32_t slots) -> void;
    auto follow_warm_up(millis now, millis left) -> void;
    auto is_confirmed(millis now, const unconfirmed_incarnation& other) const
        -> bool;
    auto is_started_after_agent(millis now,
                                const unconfirmed_incarnation& next) const
        -> bool;
    auto may_have_started_since_check(millis now,
                                      const server_heartbeat& heartbeat) const
        -> bool;
    auto highest_sequence_since(millis now, millis start) const
        -> std::uint64_t;
    auto overdue_time() const -> millis;

    std::string configured_service_;
    std::string service_name_;
    millis heartbeat_interval_;
    std::optional<server_heartbeat> last_heartbeat_;
    unconfirmed_incarnations unconfirmed_;
    millis last_heard_at_;
    millis last_heartbeat_at_;
    // Time of the first heartbeat of the current incarnation that counted.
    millis adopted_at_;
    bool draining_ = false;
    // Heartbeats in a row that call a draining server ready.
    std::uint32_t ready_while_draining_ = 0;
    std::uint32_t slots_ = 1;
    // As stated by the last heartbeat, which counts once it is repeated.
    std::uint32_t stated_slots_ = 1;
    warm_up_statement warm_up_;
    warm_up_statement stated_warm_up_;
    // Time at which the oldest unanswered opening packet was sent; empty if
    // there is none.
    std::optional<millis> unanswered_since_;
    millis last_attempt_at_;
    std::optional<millis> refused_at_;
    std::optional<millis> flow_lost_at_;
    bool left_ = false;
    bool leave_doubted_ = false;
    bool absent_ = false;
    // When the server was last found to be absent.
    millis not_found_at_;
    bool predates_agent_ = true;
    // The first heartbeat was that of a server that has just started, and
    // nothing has contradicted it yet.
    bool claims_recent_start_ = false;
};

} // namespace briardrum

#endif
