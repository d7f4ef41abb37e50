#ifndef BRIARDRUM_PACKETS_AGENT_SERVER_CONDUCT_HPP
#define BRIARDRUM_PACKETS_AGENT_SERVER_CONDUCT_HPP

#include "packets/agent/answer_baseline.hpp"

#include <deque>
#include <string_view>

namespace briardrum
{

// Change of the judgement of a server.
enum class conduct_change : std::uint8_t
{
    none,
    became_faulty,
    recovered,
};

// Inputs of a judgement, for log lines and metrics.
struct conduct_report
{
    // Requests in the window, and how many of them went unanswered for too
    // long or were broken off.
    std::uint64_t requests = 0;
    std::uint64_t unanswered = 0;
    std::uint64_t broken_off = 0;
    // Requests that the server has not answered yet.
    std::uint64_t pending = 0;
    // Requests answered in time in a row.
    std::uint64_t answered_in_a_row = 0;
    millis answer_limit;
    // Long-term median of the answer times; 0 while it is unknown.
    millis usual_answer_time;
};

// Judges a server that may fail requests while its health check passes, only
// from the requests that it was sent and from what it did with them.
//
// A server is faulty when half or more of its requests within the last two
// seconds, and at least eight, went unanswered for longer than their limit or
// were broken off. It is healthy again after eight answers in a row in time.
//
// The limit of a request follows from the server's own long-term median. The
// time that the requests ahead of it take at the usual pace is added, so that
// a server that only has too much to do is not taken for a faulty one.
//
// A server process that has ended fails requests, too, and is handled
// elsewhere. The window is therefore judged when a heartbeat arrives, which
// shows that the process still ran after these requests.
class server_conduct
{
public:
    static constexpr millis answer_limit_min = milliseconds(250);
    static constexpr millis answer_limit_max = seconds(1);

    // Nothing is judged unless enabled.
    explicit server_conduct(bool enabled);

    auto is_enabled() const -> bool;

    auto set_slots(std::uint32_t slots) -> void;

    // A complete request was sent to the server. opened_at is the time since
    // which the flow is known; flows opened before the server process started
    // are not judged.
    auto on_request(millis now, const flow_key& flow, millis opened_at) -> void;

    // The first packet of the answer arrived.
    auto on_answer(millis now, const flow_key& flow) -> void;

    // The server ended a flow whose request it had not answered, or not
    // completely.
    auto on_broken_off(millis now, const flow_key& flow, millis opened_at)
        -> void;

    // The request can no longer be judged, for example because its caller has
    // ended the flow.
    auto forget(const flow_key& flow) -> void;

    // A heartbeat of the same server process arrived.
    auto on_heartbeat(millis now) -> void;

    // The server process has ended or was replaced: judges anew.
    auto on_replaced(millis now) -> void;

    // Call every 10 ms.
    auto tick(millis now) -> conduct_change;

    auto is_faulty() const -> bool;

    // Returns true if a faulty server has had no request for so long that it
    // cannot be seen to recover.
    auto lacks_requests(millis now) const -> bool;

    // Longest time that a request may wait for its answer if it finds a free
    // slot.
    auto answer_limit() const -> millis;

    auto report() const -> conduct_report;

private:
    enum class outcome : std::uint8_t
    {
        answered,
        unanswered,
        broken_off,
    };

    struct pending_request
    {
        millis sent_at;
        // Waiting time behind the requests ahead, at the usual pace.
        millis queueing;
        bool found_free_slot = false;
    };

    struct judged_request
    {
        millis at;
        outcome result = outcome::answered;
    };

    auto judge(millis now, outcome result) -> void;
    auto allow_for_pause(millis now) -> void;
    auto judge_overdue(millis now) -> void;
    auto drop_older_requests(millis now) -> void;
    auto recovery_limit() const -> millis;
    auto count(outcome result) const -> std::uint64_t;
    auto has_failed() const -> bool;

    bool enabled_;
    std::uint32_t slots_ = 1;
    answer_baseline baseline_;
    table<flow_key, pending_request> pending_;
    // Requests of the window, by the time of their judgement.
    std::deque<judged_request> window_;
    std::uint64_t answered_in_a_row_ = 0;
    bool faulty_ = false;
    // Set until the next tick reports it.
    bool found_faulty_ = false;
    bool found_replaced_ = false;
    std::optional<millis> last_tick_at_;
    millis last_request_at_;
    // Start of the present server process, as far as known.
    millis replaced_at_;
};

} // namespace briardrum

#endif
