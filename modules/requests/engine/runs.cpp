#include "requests/engine/engine_state.hpp"

#include <algorithm>

namespace briardrum
{

auto engine_state::dispatch(millis now) -> void
{
    while (queue.size() > 0 && has_capacity(now))
    {
        const auto id = queue.pop();
        if (requests.find(id)->deadline <= now)
        {
            refuse(now, id, error_kind::deadline_too_short);
            continue;
        }
        run(now, id);
    }
}

auto engine_state::run(millis now, const request_id& id) -> void
{
    const auto token = next_token++;
    const auto& row = requests.start(now, id, token);
    ++counters.dispatched;
    health.on_dispatch(now);
    requests.set_timer(id, next_run_check(row));
    // Copied because the hook may answer immediately, which ends the request.
    const auto datagram = row.datagram;
    hooks.dispatch(id, token, datagram);
}

auto engine_state::has_capacity(millis now) const -> bool
{
    return health.may_dispatch(now, requests.running_count(), limit.value(),
                               is_silent(now));
}

auto engine_state::is_silent(millis now) const -> bool
{
    const auto timeout =
        server_health::silence_timeout(limit.latency().baseline());
    return requests.running_count() > 0 &&
           health.is_silent(now, requests.oldest_run(now), timeout);
}

auto engine_state::next_run_check(const active_request& row) const -> millis
{
    if (!row.repeatable || row.runs > 1)
    {
        return row.deadline;
    }
    // Checked before the deadline because the request or its answer may have
    // been lost.
    const auto timeout =
        server_health::silence_timeout(limit.latency().baseline());
    return std::min(row.deadline, row.dispatched + timeout);
}

auto engine_state::requeue(const request_id& id, const active_request& row)
    -> void
{
    ++counters.retried;
    requests.set_timer(id, row.deadline);
    queue.push_front(row.level, id);
}

auto engine_state::retry_if_allowed(millis now, const request_id& id) -> bool
{
    const auto& row = *requests.find(id);
    const auto allowed =
        row.repeatable && !row.cancelled && row.runs == 1 && row.deadline > now;
    if (!allowed || !budget.withdraw())
    {
        return false;
    }
    requeue(id, requests.retry(id));
    return true;
}

auto engine_state::on_overloaded(millis now, const request_id& id) -> void
{
    limit.on_overloaded(now);
    const auto& row = requests.shed(id);
    const auto allowed = row.sheds == 1 && !row.cancelled && row.deadline > now;
    if (allowed && budget.withdraw())
    {
        requeue(id, row);
        return;
    }
    refuse(now, id, error_kind::overloaded);
}

auto engine_state::on_answered(millis now, const request_id& id,
                               byte_view answer) -> void
{
    const auto& row = *requests.find(id);
    const auto cancelled = row.cancelled;
    limit.on_answered(now, now - row.dispatched, requests.running_count());
    report(now, row, error_kind::none);
    ++counters.answered;
    requests.answer(now, id, answer);
    if (!cancelled)
    {
        hooks.answer(id, answer);
    }
}

} // namespace briardrum
