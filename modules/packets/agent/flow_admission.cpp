#include "packets/agent/flow_admission.hpp"

#include <algorithm>

namespace briardrum
{

namespace
{

// Weight of a new sample in the moving average, as 1 / n. About the last
// sixteen requests count, which is less than a second even at the smallest
// servers.
constexpr std::int64_t slot_time_smoothing = 16;
constexpr std::int64_t microseconds_per_milli = 1000;

} // namespace

flow_admission::flow_admission(admission_settings settings)
    : settings_(settings),
      slot_time_us_(settings.initial_slot_time.count * microseconds_per_milli)
{
}

auto flow_admission::set_slots(std::uint32_t slots) -> void
{
    slots_ = std::max<std::uint32_t>(1, slots);
}

auto flow_admission::acquire_slot() -> void
{
    ++busy_;
}

auto flow_admission::release_slot(std::optional<millis> used_for) -> void
{
    // The caller released a slot that it had not acquired.
    BRIARDRUM_INVARIANT(busy_ > 0);
    --busy_;
    if (!used_for.has_value())
    {
        return;
    }
    const auto sample = used_for->count * microseconds_per_milli;
    slot_time_us_ += (sample - slot_time_us_) / slot_time_smoothing;
}

auto flow_admission::begin_transfer() -> void
{
    ++transfers_;
}

auto flow_admission::end_transfer() -> void
{
    // The caller ended a transfer that had not begun.
    BRIARDRUM_INVARIANT(transfers_ > 0);
    --transfers_;
}

auto flow_admission::has_capacity(std::uint32_t overcommit) const -> bool
{
    return busy_ < slots_ + overcommit &&
           transfers_ < slots_ + settings_.overcommit_transfers;
}

auto flow_admission::has_free_slot() const -> bool
{
    return waiting_.empty() && has_capacity(settings_.overcommit_offered);
}

auto flow_admission::has_idle_slot() const -> bool
{
    return waiting_.empty() && has_capacity(0);
}

auto flow_admission::decide(millis now, std::uint8_t urgency,
                            millis first_sent_at, millis start_delay) const
    -> admission_decision
{
    const auto delayed = start_delay > millis{};
    if (!delayed && waiting_.empty() &&
        has_capacity(settings_.overcommit_settled))
    {
        return admission_decision::start;
    }
    if (delayed && now - first_sent_at + start_delay > settings_.queue_age_max)
    {
        return admission_decision::refuse;
    }
    const auto wait =
        std::max(expected_wait(now, urgency, first_sent_at), start_delay);
    const auto waits_in_time =
        is_fresh(now, first_sent_at) && wait <= settings_.fresh_age_max;
    const auto queue_limit =
        std::size_t{slots_} * settings_.late_flows_per_slot;
    const auto overloaded =
        !waiting_.empty() &&
        now - last_empty_at_ > settings_.standing_queue_time;
    const auto may_wait_late = !overloaded && waiting_.size() < queue_limit;
    return waits_in_time || may_wait_late ? admission_decision::wait
                                          : admission_decision::refuse;
}

auto flow_admission::push(millis now, const flow_key& flow,
                          std::uint8_t urgency, millis first_sent_at) -> void
{
    last_empty_at_ = waiting_.empty() ? now : last_empty_at_;
    waiting_.push_back({flow, urgency, first_sent_at});
}

auto flow_admission::is_fresh(millis now, millis first_sent_at) const -> bool
{
    return now - first_sent_at <= settings_.fresh_age_max;
}

auto flow_admission::precedes(millis now, const waiting_flow& a,
                              const waiting_flow& b) const -> bool
{
    const auto a_fresh = is_fresh(now, a.first_sent_at);
    const auto b_fresh = is_fresh(now, b.first_sent_at);
    if (a_fresh != b_fresh)
    {
        return a_fresh;
    }
    if (a.urgency != b.urgency)
    {
        return a.urgency < b.urgency;
    }
    return a_fresh ? a.first_sent_at < b.first_sent_at
                   : a.first_sent_at > b.first_sent_at;
}

auto flow_admission::pop(millis now) -> std::optional<flow_key>
{
    if (waiting_.empty() || !has_capacity(settings_.overcommit_settled))
    {
        return std::nullopt;
    }
    auto best = waiting_.begin();
    for (auto it = waiting_.begin(); it != waiting_.end(); ++it)
    {
        best = precedes(now, *it, *best) ? it : best;
    }
    // Late flows only use idle slots, so that the queue within the server is
    // reserved for fresh flows.
    if (!is_fresh(now, best->first_sent_at) &&
        !has_capacity(settings_.overcommit_offered))
    {
        return std::nullopt;
    }
    const auto flow = best->flow;
    waiting_.erase(best);
    return flow;
}

auto flow_admission::take_expired(millis now) -> std::vector<flow_key>
{
    std::vector<flow_key> out;
    std::erase_if(waiting_,
                  [&](const waiting_flow& it)
                  {
                      const auto expired =
                          now - it.first_sent_at > settings_.queue_age_max;
                      if (expired)
                      {
                          out.push_back(it.flow);
                      }
                      return expired;
                  });
    return out;
}

auto flow_admission::take_all() -> std::vector<flow_key>
{
    std::vector<flow_key> out;
    for (const auto& it : waiting_)
    {
        out.push_back(it.flow);
    }
    waiting_.clear();
    return out;
}

auto flow_admission::remove(const flow_key& flow) -> void
{
    std::erase_if(waiting_,
                  [&](const waiting_flow& it)
                  {
                      return it.flow == flow;
                  });
}

auto flow_admission::expected_wait(millis now, std::uint8_t urgency,
                                   millis first_sent_at) const -> millis
{
    const waiting_flow it{{}, urgency, first_sent_at};
    const auto preceding = std::count_if(waiting_.begin(), waiting_.end(),
                                         [&](const waiting_flow& other)
                                         {
                                             return !precedes(now, it, other);
                                         });
    const auto ahead = std::int64_t{busy_} + preceding - std::int64_t{slots_};
    if (ahead <= 0)
    {
        return {};
    }
    return {ahead * slot_time_us_ / std::int64_t{slots_} /
            microseconds_per_milli};
}

auto flow_admission::busy() const -> std::uint32_t
{
    return busy_;
}

auto flow_admission::waiting() const -> std::size_t
{
    return waiting_.size();
}

} // namespace briardrum
