#include "packets/agent/warm_up_log.hpp"

#include <string>

namespace briardrum
{

namespace
{

constexpr millis held_line_interval = seconds(1);

} // namespace

warm_up_log::warm_up_log(agent_state& state) : state_(state) {}

auto warm_up_log::update(millis now) -> void
{
    const auto limited = state_.warm_up.is_limited(now);
    const auto heard = state_.warm_up.warm_up_left(now).has_value();
    if (limited && !limited_)
    {
        begin(now);
    }
    if (limited && (!limited_ || heard != heard_))
    {
        write_started(now);
    }
    heard_ = heard;
    const auto held = state_.counters.openings_held_back > held_written_;
    if (held && (now >= next_held_line_ || !limited))
    {
        write_held_back(now);
    }
    if (!limited && limited_)
    {
        write_ended(now);
    }
    limited_ = limited;
}

auto warm_up_log::begin(millis now) -> void
{
    limited_since_ = now;
    openings_before_ = state_.counters.warm_up_openings;
    held_before_ = state_.counters.openings_held_back;
}

auto warm_up_log::write_started(millis now) -> void
{
    const auto left = state_.warm_up.warm_up_left(now);
    state_.emit(
        event("warm_up_started")
            .with("cause", left.has_value() ? "heartbeat" : "server_not_heard")
            .with("service", state_.server.service_name())
            .with("left_ms", left.has_value() ? std::to_string(left->count)
                                              : std::string("unknown"))
            .with("agent_age_ms", as_count(now - state_.started_at))
            .with("per_second", state_.warm_up.allowance(now))
            .with("sent_last_second", state_.warm_up.openings_in_window(now)));
}

auto warm_up_log::write_ended(millis now) -> void
{
    const auto& counters = state_.counters;
    state_.emit(
        event("warm_up_ended")
            .with("service", state_.server.service_name())
            .with("lasted_ms", as_count(now - limited_since_))
            .with("openings", counters.warm_up_openings - openings_before_)
            .with("held_back", counters.openings_held_back - held_before_));
}

auto warm_up_log::write_held_back(millis now) -> void
{
    const auto held = state_.counters.openings_held_back;
    state_.emit(
        event("openings_held_back")
            .with("service", state_.server.service_name())
            .with("count", held - held_written_)
            .with("per_second", state_.warm_up.allowance(now))
            .with("sent_last_second", state_.warm_up.openings_in_window(now))
            .with("waiting", std::uint64_t{state_.admission.waiting()}));
    held_written_ = held;
    next_held_line_ = now + held_line_interval;
}

} // namespace briardrum
