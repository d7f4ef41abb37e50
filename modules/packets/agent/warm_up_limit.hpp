#ifndef BRIARDRUM_PACKETS_AGENT_WARM_UP_LIMIT_HPP
#define BRIARDRUM_PACKETS_AGENT_WARM_UP_LIMIT_HPP

#include "core/core.hpp"

#include <deque>
#include <optional>

namespace briardrum
{

// Start-up settings of a warm_up_limit.
struct warm_up_settings
{
    // A cold server may get the rate of its service times this factor, plus
    // the slack, in any second. The part beyond the rate is not used, except to
    // cover what an agent that has restarted cannot know.
    double overshoot = 1;
    // Opening packets in a second beyond the rate.
    double slack = 0;
};

// Limits the opening packets sent to a backend server while it is cold, that
// is, for a time after its start: in any sliding second at most the rate of its
// service plus the slack.
//
// Call on_opening_sent() for every opening packet that is sent to the server,
// also while it is warm, and allows_opening() before each.
class warm_up_limit
{
public:
    // The limit applies to any period of this length, including both ends: a
    // time in whole milliseconds may be almost one millisecond early.
    static constexpr millis window = seconds(1);
    // Number of openings that are remembered. An agent sends fewer in a second;
    // a rate beyond this number limits as this number does.
    static constexpr std::size_t openings_max = 10'000;
    // Expected wait if none can be estimated; longer than any caller waits.
    static constexpr millis unknown_wait = minutes(1);

    // Without settings there is no limit. started_at is the start time of the
    // agent.
    warm_up_limit(std::optional<warm_up_settings> settings, millis started_at);

    // Requests per second of the service; none, or 0: not limited. Until the
    // first call the rate is unknown, and the smallest safe number of openings
    // is allowed.
    auto set_rate(std::optional<double> requests_per_second) -> void;

    // Call for each heartbeat that is the newest of the present incarnation,
    // with the warm-up time that remains (0: warm).
    auto on_heartbeat(millis now, millis warm_up_left) -> void;

    // Call when the server process may have been replaced by a cold one. It
    // counts as cold until its next heartbeat.
    auto on_restart_suspected() -> void;

    auto on_opening_sent(millis now) -> void;

    // Returns true if one more opening packet may be sent now.
    auto allows_opening(millis now) const -> bool;

    // Estimates the time until an opening packet may be sent, with this many
    // ahead of it. Without any ahead, it is 0 exactly if allows_opening().
    auto expected_wait(millis now, std::size_t ahead) const -> millis;

    // Returns true if the limit counts: the server is cold, or may be, and its
    // service has a rate or an unknown one.
    auto is_limited(millis now) const -> bool;

    // Number of opening packets that a cold server may get in a second, and
    // number sent in the last second.
    auto allowance(millis now) const -> std::size_t;
    auto openings_in_window(millis now) const -> std::size_t;

    // Returns the rest of the warm-up; empty if the end is not known, because
    // no heartbeat has been received since the server may have started.
    auto warm_up_left(millis now) const -> std::optional<millis>;

private:
    auto may_be_cold(millis now) const -> bool;
    auto is_first_second(millis now) const -> bool;
    auto wait_in_order(millis now, std::size_t ahead) const -> millis;

    std::optional<warm_up_settings> settings_;
    millis started_at_;
    // Empty until it is known; 0 for a service without a limit.
    std::optional<double> rate_;
    bool heard_ = false;
    millis cold_until_;
    bool cold_ = false;
    // Times of the openings, oldest first.
    std::deque<millis> openings_;
};

} // namespace briardrum

#endif
