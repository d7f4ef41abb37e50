#include "requests/engine/engine_state.hpp"

#include <algorithm>

namespace briardrum
{

auto engine_state::dispatch(millis now) -> void
{
    while (queue.size() > 0 && room_to_run(now))
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
    watch.on_dispatch(now);
    requests.set_timer(id, run_timer(row));
    // Copied: the hook may answer at once, which ends the request.
    const auto datagram = row.datagram;
    hooks.dispatch(id, token, datagram);
}

auto engine_state::room_to_run(millis now) const -> bool
{
    return watch.may_run(now, requests.running_count(), limit.value(),
                         is_silent(now));
}

auto engine_state::is_silent(millis now) const -> bool
{
    const auto bound = server_watch::silence_bound(limit.latency().baseline());
    return requests.running_count() > 0 &&
           watch.is_silent(now, requests.oldest_run(now), bound);
}

auto engine_state::run_timer(const active_request& row) const -> millis
{
    if (!row.repeatable || row.runs > 1)
    {
        return row.deadline;
    }
    // Looked at earlier, since its run may have got lost.
    const auto bound = server_watch::silence_bound(limit.latency().baseline());
    return std::min(row.deadline, row.dispatched + bound);
}

auto engine_state::queue_again(const request_id& id, const active_request& row)
    -> void
{
    ++counters.retried;
    requests.set_timer(id, row.deadline);
    queue.push_front(row.level, id);
}

auto engine_state::try_again(millis now, const request_id& id) -> bool
{
    const auto& row = *requests.find(id);
    const auto may =
        row.repeatable && !row.cancelled && row.runs == 1 && row.deadline > now;
    if (!may || !budget.withdraw())
    {
        return false;
    }
    queue_again(id, requests.retry(id));
    return true;
}

auto engine_state::on_overloaded(millis now, const request_id& id) -> void
{
    limit.on_overloaded(now);
    const auto& row = requests.shed(id);
    const auto may = row.sheds == 1 && !row.cancelled && row.deadline > now;
    if (may && budget.withdraw())
    {
        queue_again(id, row);
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
