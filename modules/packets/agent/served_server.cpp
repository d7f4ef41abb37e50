#include "packets/agent/served_server.hpp"

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

served_server::served_server(std::string service_name,
                             millis heartbeat_interval)
    : service_name_(std::move(service_name)),
      heartbeat_interval_(heartbeat_interval)
{
}

auto served_server::on_heartbeat(millis now, const server_heartbeat& heartbeat)
    -> heartbeat_outcome
{
    if (last_.has_value())
    {
        const auto same = last_->server_id == heartbeat.server_id &&
                          last_->started_at == heartbeat.started_at;
        // Clocks jump: an earlier start counts as an older incarnation only
        // while the known one speaks.
        const auto silent =
            now - heartbeat_at_ > heartbeat_interval_ * heartbeats_missed_max;
        if (!same && !silent && heartbeat.started_at < last_->started_at)
        {
            return heartbeat_outcome::outdated;
        }
        if (same && heartbeat.sequence <= last_->sequence)
        {
            return heartbeat_outcome::late;
        }
        if (same)
        {
            const auto changed = last_->draining != heartbeat.draining ||
                                 last_->slots != heartbeat.slots ||
                                 service_name_ != heartbeat.service_name;
            last_ = heartbeat;
            service_name_ = heartbeat.service_name;
            heartbeat_at_ = now;
            heard_at_ = now;
            return changed ? heartbeat_outcome::changed
                           : heartbeat_outcome::renewed;
        }
    }
    const auto first = !last_.has_value();
    // The first heartbeat of an incarnation has the sequence 1 at most.
    predates_agent_ = first && heartbeat.sequence > 1;
    last_ = heartbeat;
    service_name_ = heartbeat.service_name;
    heartbeat_at_ = now;
    heard_at_ = now;
    unanswered_since_.reset();
    left_ = false;
    return first ? heartbeat_outcome::changed : heartbeat_outcome::replaced;
}

auto served_server::on_leave(millis, const std::string& server_id) -> bool
{
    if (!last_.has_value() || last_->server_id != server_id)
    {
        return false;
    }
    left_ = true;
    return true;
}

auto served_server::on_packet(millis now) -> void
{
    heard_at_ = now;
}

auto served_server::on_opening_sent(millis now) -> void
{
    tried_at_ = now;
    if (!unanswered_since_.has_value())
    {
        unanswered_since_ = now;
    }
}

auto served_server::on_opening_answered(millis) -> void
{
    unanswered_since_.reset();
}

auto served_server::on_opening_refused(millis now) -> void
{
    refused_at_ = now;
    unanswered_since_.reset();
}

auto served_server::takes_flows(millis now) const -> bool
{
    if (!last_.has_value() || left_ || last_->draining)
    {
        return false;
    }
    const auto heard = std::max(heard_at_, heartbeat_at_);
    if (now - heard > heartbeat_interval_ * heartbeats_missed_max)
    {
        return false;
    }
    // One that refused is tried again now and then, and once it speaks.
    const auto refuses = refused_at_.has_value() &&
                         heartbeat_at_ <= *refused_at_ &&
                         now - *refused_at_ < trial_interval;
    return !refuses && (!is_silent(now) || now - tried_at_ >= trial_interval);
}

auto served_server::is_silent(millis now) const -> bool
{
    return unanswered_since_.has_value() &&
           now - *unanswered_since_ > opening_answer_max;
}

auto served_server::is_draining() const -> bool
{
    return left_ || (last_.has_value() && last_->draining);
}

auto served_server::is_known() const -> bool
{
    return last_.has_value();
}

auto served_server::predates_agent() const -> bool
{
    return predates_agent_;
}

auto served_server::service_name() const -> const std::string&
{
    return service_name_;
}

auto served_server::slots() const -> std::uint32_t
{
    return last_.has_value() ? std::max<std::uint32_t>(1, last_->slots) : 1;
}

auto served_server::incarnation_started() const -> millis
{
    return last_.has_value() ? last_->started_at : millis{};
}

} // namespace briardrum
