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
        break;
    }
    return "outdated";
}

local_server::local_server(std::string service_name, millis heartbeat_interval)
    : service_name_(std::move(service_name)),
      heartbeat_interval_(heartbeat_interval)
{
}

auto local_server::on_heartbeat(millis now, const server_heartbeat& heartbeat)
    -> heartbeat_outcome
{
    if (last_heartbeat_.has_value())
    {
        const auto same = last_heartbeat_->server_id == heartbeat.server_id &&
                          last_heartbeat_->started_at == heartbeat.started_at;
        // Wall clocks can jump, so an earlier start time only marks an older
        // incarnation while the current one still sends heartbeats.
        const auto silent = now - last_heartbeat_at_ >
                            heartbeat_interval_ * heartbeats_missed_max;
        if (!same && !silent &&
            heartbeat.started_at < last_heartbeat_->started_at)
        {
            return heartbeat_outcome::outdated;
        }
        if (same)
        {
            return on_same_incarnation(now, heartbeat);
        }
    }
    const auto first = !last_heartbeat_.has_value();
    // The first heartbeat of an incarnation has at most the sequence number 1.
    predates_agent_ =
        heartbeat.sequence > 1 && !may_have_started_since_check(now, heartbeat);
    lower_sequences_.reset();
    absent_ = false;
    last_heartbeat_ = heartbeat;
    service_name_ = heartbeat.service_name;
    last_heartbeat_at_ = now;
    last_heard_at_ = now;
    unanswered_since_.reset();
    left_ = false;
    return first ? heartbeat_outcome::changed : heartbeat_outcome::replaced;
}

// Returns true for a server that may have started after this VM was found to
// have none: it is younger than the agent, too. A heartbeat that is not
// acknowledged is followed by the next one sooner, so that numbers may rise
// faster than once in an interval.
auto local_server::may_have_started_since_check(
    millis now, const server_heartbeat& heartbeat) const -> bool
{
    constexpr std::int64_t heartbeats_per_interval_max = 2;
    const auto interval_ms =
        std::max<std::int64_t>(1, heartbeat_interval_.count);
    const auto intervals = (now - not_found_at_).count / interval_ms + 1;
    return absent_ &&
           heartbeat.sequence <= static_cast<std::uint64_t>(
                                     intervals * heartbeats_per_interval_max);
}

auto local_server::on_same_incarnation(millis now,
                                       const server_heartbeat& heartbeat)
    -> heartbeat_outcome
{
    const auto in_order = heartbeat.sequence > last_heartbeat_->sequence;
    const auto restarted =
        !in_order && is_sequence_restarted(now, heartbeat.sequence);
    if (!in_order && !restarted)
    {
        // A server that drains does so until it leaves.
        const auto drains = heartbeat.draining && !last_heartbeat_->draining;
        last_heartbeat_->draining |= heartbeat.draining;
        return drains ? heartbeat_outcome::changed : heartbeat_outcome::late;
    }
    const auto changed = restarted ||
                         last_heartbeat_->draining != heartbeat.draining ||
                         last_heartbeat_->slots != heartbeat.slots ||
                         service_name_ != heartbeat.service_name;
    last_heartbeat_ = heartbeat;
    service_name_ = heartbeat.service_name;
    last_heartbeat_at_ = now;
    last_heard_at_ = now;
    lower_sequences_.reset();
    absent_ = false;
    return changed ? heartbeat_outcome::changed : heartbeat_outcome::renewed;
}

// A heartbeat with a sequence number far ahead may come from another writer.
// The server's own numbers are lower, but go on rising for as long as it lives;
// delayed heartbeats arrive together, or between later ones.
auto local_server::is_sequence_restarted(millis now, std::uint64_t sequence)
    -> bool
{
    const auto continues = lower_sequences_.has_value() &&
                           sequence > lower_sequences_->last &&
                           now - lower_sequences_->last_at <=
                               heartbeat_interval_ * heartbeats_missed_max;
    if (!continues)
    {
        lower_sequences_ = {sequence, now, now};
        return false;
    }
    lower_sequences_->last = sequence;
    lower_sequences_->last_at = now;
    return now - lower_sequences_->since >=
           heartbeat_interval_ * intervals_until_restarted;
}

auto local_server::on_leave(millis, const std::string& server_id) -> bool
{
    if (!last_heartbeat_.has_value() || last_heartbeat_->server_id != server_id)
    {
        return false;
    }
    left_ = true;
    return true;
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

auto local_server::is_in_doubt(millis now, millis agent_started) const -> bool
{
    if (absent_)
    {
        return false;
    }
    const auto known = last_heartbeat_.has_value();
    const auto silence = now - (known ? last_heartbeat_at_ : agent_started);
    const auto expected =
        known ? milliseconds(heartbeat_interval_.count * overdue_tenths / 10)
              : first_heartbeat_timeout;
    const auto overdue = left_ || silence > expected;
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
    if (!last_heartbeat_.has_value() || left_ || absent_ ||
        last_heartbeat_->draining)
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

auto local_server::has_left() const -> bool
{
    return left_;
}

auto local_server::is_draining() const -> bool
{
    return left_ || (last_heartbeat_.has_value() && last_heartbeat_->draining);
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
    return last_heartbeat_.has_value()
               ? std::max<std::uint32_t>(1, last_heartbeat_->slots)
               : 1;
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
