#include "requests/engine/engine_state.hpp"

#include <algorithm>

namespace briardrum
{

namespace
{

// How long to wait for the answer to a cancelled request.
constexpr millis cancel_grace = seconds(1);

} // namespace

auto engine_state::refuse(millis now, const request_id& id, error_kind kind)
    -> void
{
    const auto key = id;
    const auto& row = *requests.find(key);
    if (row.may_have_run() && error_mapping_for(kind).not_run)
    {
        kind = error_kind::server_silent;
    }
    const auto cancelled = row.cancelled;
    const auto retry_delay = retry_after(row.level, key.flow.caller);
    report(now, row, kind);
    ++counters.refused;
    requests.refuse(now, key, kind);
    if (!cancelled)
    {
        hooks.refuse(key, kind, retry_delay);
    }
}

auto engine_state::give_up(millis now, const request_id& id) -> void
{
    const auto key = id;
    const auto& row = *requests.find(key);
    const auto kind = row.repeatable ? error_kind::server_silent
                                     : error_kind::outcome_unknown;
    const auto cancelled = row.cancelled;
    const auto retry_delay = retry_after(row.level, key.flow.caller);
    report(now, row, kind);
    ++counters.outcome_unknown;
    requests.give_up(now, key, kind);
    if (!cancelled)
    {
        hooks.refuse(key, kind, retry_delay);
    }
}

auto engine_state::report(millis now, const active_request& row,
                          error_kind kind) const -> void
{
    if (hooks.finished)
    {
        hooks.finished({row.level, kind, row.cancelled, now - row.arrived});
    }
}

auto engine_state::on_timer(millis now, const request_id& id) -> void
{
    if (requests.find(id)->state == request_state::queued)
    {
        on_queue_timer(now, id);
        return;
    }
    on_run_timer(now, id);
}

auto engine_state::on_queue_timer(millis now, const request_id& id) -> void
{
    const auto& row = *requests.find(id);
    const auto kind = row.deadline <= now ? error_kind::deadline_too_short
                                          : error_kind::overloaded;
    queue.erase(row.level, id);
    refuse(now, id, kind);
}

auto engine_state::on_run_timer(millis now, const request_id& id) -> void
{
    const auto& row = *requests.find(id);
    if (row.deadline > now)
    {
        if (!is_silent(now) || !retry_if_allowed(now, id))
        {
            requests.set_timer(id, row.deadline);
        }
        return;
    }
    if (!row.cancelled)
    {
        limit.on_timed_out(now, now - row.dispatched);
        hooks.cancel(id, row.server_token);
    }
    give_up(now, id);
}

auto engine_state::cancel(millis now, const request_id& id) -> void
{
    auto* row = requests.find(id);
    if (row == nullptr || row->cancelled)
    {
        return;
    }
    ++counters.cancelled;
    row->cancelled = true;
    if (row->state == request_state::queued)
    {
        queue.erase(row->level, id);
        refuse(now, id, error_kind::cancelled_before_run);
        return;
    }
    row->deadline = std::min(row->deadline, now + cancel_grace);
    const auto token = row->server_token;
    requests.set_timer(id, row->deadline);
    hooks.cancel(id, token);
}

} // namespace briardrum
