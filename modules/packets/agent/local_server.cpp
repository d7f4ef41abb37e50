#include "packets/agent/local_server.hpp"

#include <algorithm>
#include <utility>

namespace briardrum
{

auto to_string(heartbeat_outcome outcome) -> std::string_view
{
    switch (outcome)
    {
    case heartbeat_outcome::renewed:
        return "renewed";
    case heartbeat_outcome::changed:
        return "changed";
    case heartbeat_outcome::replaced:
        return "replaced";
    case heartbeat_outcome::late:
        return "late";
    case heartbeat_outcome::outdated:
        return "outdated";
    case heartbeat_outcome::unconfirmed:
        break;
    }
    return "unconfirmed";
}

auto to_string(leave_outcome outcome) -> std::string_view
{
    switch (outcome)
    {
    case leave_outcome::left:
        return "left";
    case leave_outcome::doubted:
        return "doubted";
    case leave_outcome::unknown:
        break;
    }
    return "unknown";
}

local_server::local_server(std::string service_name, millis heartbeat_interval)
    : configured_service_(service_name), service_name_(std::move(service_name)),
      heartbeat_interval_(heartbeat_interval),
      unconfirmed_(heartbeat_interval * heartbeats_missed_max)
{
}

auto local_server::on_heartbeat(millis now, const server_heartbeat& heartbeat)
    -> heartbeat_outcome
{
    if (!last_heartbeat_.has_value())
    {
        return on_first(now, heartbeat);
    }
    if (!is_same_incarnation(*last_heartbeat_, heartbeat))
    {
        return on_other_incarnation(now, heartbeat);
    }
    if (heartbeat.service_name != service_name_)
    {
        return on_other_service(now, heartbeat);
    }
    return on_same_incarnation(now, heartbeat);
}

// A server of the configured service counts at once, as callers wait for it. A
// server of another one, such as a service that was renamed, must go on.
auto local_server::on_first(millis now, const server_heartbeat& heartbeat)
    -> heartbeat_outcome
{
    const auto next = unconfirmed_.add(now, heartbeat);
    if (heartbeat.service_name != service_name_ && !is_confirmed(now, next))
    {
        return heartbeat_outcome::unconfirmed;
    }
    adopt(now, next);
    return heartbeat_outcome::changed;
}

auto local_server::on_other_incarnation(millis now,
                                        const server_heartbeat& heartbeat)
    -> heartbeat_outcome
{
    claims_recent_start_ = false;
    const auto next = unconfirmed_.add(now, heartbeat);
    const auto confirmed = is_confirmed(now, next);
    // Wall clocks can jump, so an earlier start time only marks an older
    // incarnation while the current one still sends heartbeats.
    const auto silent =
        now - last_heartbeat_at_ > heartbeat_interval_ * heartbeats_missed_max;
    const auto earlier = heartbeat.started_at < last_heartbeat_->started_at;
    if (!confirmed && !silent && earlier)
    {
        return heartbeat_outcome::outdated;
    }
    const auto is_expected = heartbeat.service_name == service_name_ ||
                             heartbeat.service_name == configured_service_;
    const auto gone = silent || left_ || has_process_ended();
    if (!confirmed && !(gone && is_expected))
    {
        return heartbeat_outcome::unconfirmed;
    }
    adopt(now, next);
    return heartbeat_outcome::replaced;
}

// The server of a service that was renamed may run on.
auto local_server::on_other_service(millis now,
                                    const server_heartbeat& heartbeat)
    -> heartbeat_outcome
{
    if (!is_confirmed(now, unconfirmed_.add(now, heartbeat)))
    {
        return heartbeat_outcome::unconfirmed;
    }
    service_name_ = heartbeat.service_name;
    renew(now, heartbeat);
    return heartbeat_outcome::changed;
}

auto local_server::on_same_incarnation(millis now,
                                       const server_heartbeat& heartbeat)
    -> heartbeat_outcome
{
    if (heartbeat.sequence <= last_heartbeat_->sequence)
    {
        return on_out_of_order(now, heartbeat);
    }
    // An older server would have been heard meanwhile.
    const auto heard_long_enough =
        now - adopted_at_ >= heartbeat_interval_ * 3 / 4;
    if (claims_recent_start_ && heard_long_enough)
    {
        claims_recent_start_ = false;
        predates_agent_ =
            heartbeat.sequence > highest_sequence_since(now, adopted_at_);
    }
    return renew(now, heartbeat);
}

// A heartbeat with a sequence number far ahead may come from another writer.
// The server's own numbers are lower, but go on rising for as long as it lives;
// delayed heartbeats arrive together, or between later ones.
auto local_server::on_out_of_order(millis now,
                                   const server_heartbeat& heartbeat)
    -> heartbeat_outcome
{
    if (is_confirmed(now, unconfirmed_.add(now, heartbeat)))
    {
        restart_sequence(now, heartbeat);
        return heartbeat_outcome::changed;
    }
    // A server that drains does so until it leaves.
    const auto drains = heartbeat.draining && !draining_;
    if (drains)
    {
        follow_draining(true);
    }
    return drains ? heartbeat_outcome::changed : heartbeat_outcome::late;
}

auto local_server::adopt(millis now, const unconfirmed_incarnation& next)
    -> void
{
    predates_agent_ = !is_started_after_agent(now, next);
    claims_recent_start_ =
        predates_agent_ && next.first_sequence <= 1 && !next.contradicted;
    const auto& heartbeat = next.newest;
    service_name_ = heartbeat.service_name;
    adopted_at_ = now;
    unanswered_since_.reset();
    refused_at_.reset();
    flow_lost_at_.reset();
    restart_sequence(now, heartbeat);
}

// A server that holds flows from before the start of the agent must not be
// taken for a younger one, for the agent would deny those flows. The first
// heartbeat of an incarnation has at most the sequence number 1.
auto local_server::is_started_after_agent(
    millis now, const unconfirmed_incarnation& next) const -> bool
{
    if (may_have_started_since_check(now, next.newest))
    {
        return true;
    }
    const auto replaces = last_heartbeat_.has_value();
    const auto alone = now - next.first_at >= heartbeat_interval_ / 2;
    return next.first_sequence <= 1 && !next.contradicted &&
           (alone || (replaces && has_process_ended()));
}

// Returns true for a server that may have started after this VM was found to
// have none: it is younger than the agent, too.
auto local_server::may_have_started_since_check(
    millis now, const server_heartbeat& heartbeat) const -> bool
{
    return absent_ &&
           heartbeat.sequence <= highest_sequence_since(now, not_found_at_);
}

// Returns the highest sequence number of a server that started at this time. A
// heartbeat that is not acknowledged is followed by the next one sooner, so
// that numbers may rise faster than once in an interval.
auto local_server::highest_sequence_since(millis now, millis start) const
    -> std::uint64_t
{
    constexpr std::int64_t heartbeats_per_interval_max = 2;
    const auto interval_ms =
        std::max<std::int64_t>(1, heartbeat_interval_.count);
    const auto intervals = (now - start).count / interval_ms + 1;
    return static_cast<std::uint64_t>(intervals * heartbeats_per_interval_max);
}

auto local_server::renew(millis now, const server_heartbeat& heartbeat)
    -> heartbeat_outcome
{
    const auto was_draining = draining_;
    const auto former_slots = slots_;
    const auto former_service = last_heartbeat_->service_name;
    follow_draining(heartbeat.draining);
    follow_slots(heartbeat.slots);
    follow_warm_up(now, heartbeat.warm_up_left);
    record(now, heartbeat);
    const auto changed = was_draining != draining_ || former_slots != slots_ ||
                         former_service != heartbeat.service_name;
    return changed ? heartbeat_outcome::changed : heartbeat_outcome::renewed;
}

// Takes over all that a heartbeat says, whatever the last one said.
auto local_server::restart_sequence(millis now,
                                    const server_heartbeat& heartbeat) -> void
{
    draining_ = heartbeat.draining;
    ready_while_draining_ = 0;
    slots_ = heartbeat.slots;
    warm_up_ = {heartbeat.warm_up_left, now};
    stated_warm_up_ = warm_up_;
    record(now, heartbeat);
}

auto local_server::record(millis now, const server_heartbeat& heartbeat) -> void
{
    last_heartbeat_ = heartbeat;
    last_heartbeat_at_ = now;
    last_heard_at_ = now;
    stated_slots_ = heartbeat.slots;
    unconfirmed_.clear();
    absent_ = false;
    left_ = false;
    leave_doubted_ = false;
}

// A server that drains does so until it leaves, so either the heartbeat that
// says so or the one that takes it back is false. The server must not get new
// flows while it drains, so only the latter has to be repeated.
auto local_server::follow_draining(bool draining) -> void
{
    if (draining || !draining_)
    {
        draining_ = draining;
        ready_while_draining_ = 0;
        return;
    }
    ++ready_while_draining_;
    draining_ = ready_while_draining_ < heartbeats_to_confirm;
}

// The slots of an incarnation do not change, so that another number counts once
// the next heartbeat repeats it.
auto local_server::follow_slots(std::uint32_t slots) -> void
{
    slots_ = slots == stated_slots_ ? slots : slots_;
}

// The remaining time runs down. A heartbeat that states another one counts once
// the next heartbeat agrees with it.
auto local_server::follow_warm_up(millis now, millis left) -> void
{
    const auto agrees = [&](const warm_up_statement& it)
    {
        const auto expected = std::max(millis{}, it.left - (now - it.at));
        return left - expected <= heartbeat_interval_ &&
               expected - left <= heartbeat_interval_;
    };
    const auto counts = agrees(warm_up_) || agrees(stated_warm_up_);
    stated_warm_up_ = {left, now};
    warm_up_ = counts ? stated_warm_up_ : warm_up_;
}

// Returns true if this incarnation goes on while the current one has not been
// heard for too long.
auto local_server::is_confirmed(millis now,
                                const unconfirmed_incarnation& other) const
    -> bool
{
    const auto known = last_heartbeat_.has_value();
    const auto silence = now - (known ? last_heartbeat_at_ : other.first_at);
    // Heartbeats that were held up arrive together.
    const auto spread =
        other.last_at - other.first_at >= heartbeat_interval_ / 2;
    return other.heartbeats >= heartbeats_to_confirm && spread &&
           silence > overdue_time();
}

auto local_server::overdue_time() const -> millis
{
    return milliseconds(heartbeat_interval_.count * overdue_tenths / 10);
}

auto local_server::on_leave(millis, const std::string& server_id)
    -> leave_outcome
{
    if (!last_heartbeat_.has_value() || last_heartbeat_->server_id != server_id)
    {
        return leave_outcome::unknown;
    }
    if (!draining_)
    {
        leave_doubted_ = true;
        return leave_outcome::doubted;
    }
    left_ = true;
    return leave_outcome::left;
}

auto local_server::on_packet(millis now) -> void
{
    last_heard_at_ = now;
}

auto local_server::on_opening_sent(millis now) -> void
{
    last_attempt_at_ = now;
    if (!unanswered_since_.has_value())
    {
        unanswered_since_ = now;
    }
}

auto local_server::on_opening_answered(millis) -> void
{
    unanswered_since_.reset();
}

auto local_server::on_opening_refused(millis now) -> void
{
    refused_at_ = now;
    unanswered_since_.reset();
}

auto local_server::on_flow_lost(millis now) -> void
{
    flow_lost_at_ = now;
}

auto local_server::has_process_ended() const -> bool
{
    const auto is_since_heartbeat = [&](const std::optional<millis>& at)
    {
        return at.has_value() && last_heartbeat_at_ <= *at;
    };
    return absent_ || is_since_heartbeat(refused_at_) ||
           is_since_heartbeat(flow_lost_at_);
}

auto local_server::is_in_doubt(millis now, millis agent_started) const -> bool
{
    if (absent_)
    {
        return false;
    }
    const auto known = last_heartbeat_.has_value();
    const auto silence = now - (known ? last_heartbeat_at_ : agent_started);
    const auto expected = known ? overdue_time() : first_heartbeat_timeout;
    const auto overdue = left_ || leave_doubted_ || silence > expected;
    const auto refuses =
        refused_at_.has_value() && last_heartbeat_at_ <= *refused_at_;
    return overdue || refuses || is_silent(now);
}

auto local_server::on_not_found(millis now, millis checked_at) -> bool
{
    const auto heard = std::max(last_heard_at_, last_heartbeat_at_);
    const auto known = last_heartbeat_.has_value();
    if (absent_ || (known && heard >= checked_at))
    {
        return false;
    }
    absent_ = true;
    not_found_at_ = now;
    unanswered_since_.reset();
    return true;
}

auto local_server::is_absent() const -> bool
{
    return absent_;
}

auto local_server::accepts_new_flows(millis now) const -> bool
{
    if (!last_heartbeat_.has_value() || left_ || absent_ || draining_)
    {
        return false;
    }
    const auto heard = std::max(last_heard_at_, last_heartbeat_at_);
    if (now - heard > heartbeat_interval_ * heartbeats_missed_max)
    {
        return false;
    }
    // A server that refused is retried at intervals, and as soon as it sends a
    // heartbeat.
    const auto refuses = refused_at_.has_value() &&
                         last_heartbeat_at_ <= *refused_at_ &&
                         now - *refused_at_ < retry_interval;
    return !refuses &&
           (!is_silent(now) || now - last_attempt_at_ >= retry_interval);
}

auto local_server::is_silent(millis now) const -> bool
{
    return unanswered_since_.has_value() &&
           now - *unanswered_since_ > opening_answer_timeout;
}

auto local_server::is_draining() const -> bool
{
    return left_ || draining_;
}

auto local_server::is_known() const -> bool
{
    return last_heartbeat_.has_value();
}

auto local_server::predates_agent() const -> bool
{
    return predates_agent_;
}

auto local_server::service_name() const -> const std::string&
{
    return service_name_;
}

auto local_server::slots() const -> std::uint32_t
{
    return std::max<std::uint32_t>(1, slots_);
}

auto local_server::warm_up_left(millis now) const -> millis
{
    return std::max(millis{}, warm_up_.left - (now - warm_up_.at));
}

auto local_server::server_id() const -> std::string_view
{
    return last_heartbeat_.has_value() ? last_heartbeat_->server_id
                                       : std::string_view{};
}

auto local_server::last_heartbeat_at() const -> millis
{
    return last_heartbeat_at_;
}

auto local_server::last_heard_at() const -> millis
{
    return std::max(last_heard_at_, last_heartbeat_at_);
}

auto local_server::incarnation_started() const -> millis
{
    return last_heartbeat_.has_value() ? last_heartbeat_->started_at : millis{};
}

} // namespace briardrum
