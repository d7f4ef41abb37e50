#include "requests/engine/engine_state.hpp"

#include <algorithm>
#include <cmath>

namespace briardrum
{

namespace
{

// Upper bound of the deadline that a caller may ask for.
constexpr millis deadline_max = minutes(4);
// Maximum time that a request stays in the queue.
constexpr millis queue_time_max = seconds(30);
// Bounds of the base of the retry-after time. The jitter added to it can double
// the time.
constexpr millis retry_after_min = seconds(1);
constexpr millis retry_after_max = seconds(60);

} // namespace

engine_state::engine_state(request_hooks initial_hooks, std::uint64_t seed,
                           request_bounds memory_bounds)
    : hooks(std::move(initial_hooks)), random(seed), bounds(memory_bounds)
{
    limit.set_slots(0);
}

auto engine_state::arrive(millis now, const request_arrival& arrival)
    -> arrival_result
{
    if (requests.find(arrival.id) != nullptr)
    {
        return arrival_result::in_progress;
    }
    if (repeat(now, arrival.id))
    {
        return arrival_result::repeated;
    }
    if (committed_bytes() > bounds.answer_bytes + bounds.refusal_bytes)
    {
        ++counters.dropped;
        return arrival_result::dropped;
    }
    ++counters.arrived;
    budget.deposit();
    auto kind = check_admission(now, arrival);
    if (kind == error_kind::none && !make_room(now, arrival))
    {
        kind = error_kind::overloaded;
    }
    add(now, arrival);
    if (kind != error_kind::none)
    {
        refuse(now, arrival.id, kind);
        return arrival_result::refused;
    }
    queue.push(arrival.level, arrival.id);
    dispatch(now);
    return arrival_result::accepted;
}

auto engine_state::repeat(millis now, const request_id& id) -> bool
{
    const auto* stored = requests.finished(now, id);
    if (stored == nullptr)
    {
        return false;
    }
    ++counters.repeated;
    if (stored->kind == error_kind::none)
    {
        hooks.answer(id, stored->answer);
        return true;
    }
    hooks.refuse(id, stored->kind,
                 retry_after(urgency::normal, id.flow.caller));
    return true;
}

auto engine_state::add(millis now, const request_arrival& arrival) -> void
{
    active_request row;
    row.repeatable = arrival.repeatable;
    row.level = arrival.level;
    row.arrived = now;
    row.deadline = now + time_left_of(arrival);
    row.timer = std::min(row.deadline, now + queue_time_max);
    row.datagram = to_buffer(arrival.datagram);
    requests.add(now, arrival.id, std::move(row));
}

auto engine_state::check_admission(millis now,
                                   const request_arrival& arrival) const
    -> error_kind
{
    const auto datagram_bytes =
        requests.datagram_bytes() + arrival.datagram.size();
    if (committed_bytes() > bounds.answer_bytes ||
        datagram_bytes > bounds.queue_bytes)
    {
        return error_kind::overloaded;
    }
    if (has_capacity(now) && queue.size() == 0)
    {
        return error_kind::none;
    }
    const auto wait = estimated_wait(arrival.level, arrival.id.flow.caller);
    const millis run_time{std::llround(limit.latency().recent())};
    if (wait + run_time > time_left_of(arrival))
    {
        return error_kind::deadline_too_short;
    }
    return wait > queue_time_max ? error_kind::overloaded : error_kind::none;
}

auto engine_state::make_room(millis now, const request_arrival& arrival) -> bool
{
    if (!queue.is_full())
    {
        return true;
    }
    const auto victim = queue.victim_for(arrival.level, arrival.id.flow.caller);
    if (!victim)
    {
        return false;
    }
    queue.erase(requests.find(*victim)->level, *victim);
    refuse(now, *victim, error_kind::overloaded);
    return true;
}

auto engine_state::time_left_of(const request_arrival& arrival) const -> millis
{
    const auto requested = arrival.time_left.count > 0
                               ? arrival.time_left
                               : policy.default_deadline;
    return std::min(requested, deadline_max);
}

auto engine_state::estimated_wait(urgency level, const endpoint& caller) const
    -> millis
{
    const auto requests_ahead =
        static_cast<double>(queue.ahead_of(level, caller) + 1);
    const auto concurrency = static_cast<double>(limit.value());
    const auto wait = requests_ahead * limit.latency().recent() / concurrency;
    return {std::llround(wait)};
}

auto engine_state::retry_after(urgency level, const endpoint& caller) -> millis
{
    const auto wait = estimated_wait(level, caller);
    const auto base = std::clamp(wait, retry_after_min, retry_after_max);
    const auto jitter = random.below(static_cast<std::uint64_t>(base.count));
    return base + millis{static_cast<std::int64_t>(jitter)};
}

auto engine_state::committed_bytes() const -> std::size_t
{
    // Counts the new request in addition to those in progress.
    const auto answer_cost = answer_store::cost(coap_datagram_max);
    const auto reserved = (requests.in_progress() + 1) * answer_cost;
    return requests.store().bytes() + reserved;
}

} // namespace briardrum
