#include "requests/engine/request_engine.hpp"

#include "requests/engine/engine_state.hpp"

#include <algorithm>

namespace briardrum
{

namespace
{

constexpr std::size_t percent = 100;

// Converts a stored answer to the record that the flow's next owner receives.
auto to_record(millis now, stored_answer& stored) -> request_record
{
    const auto refused = error_mapping_for(stored.kind).not_run;
    const auto final_state =
        refused ? request_state::refused : request_state::answered;
    return {stored.id, final_state, std::move(stored.answer),
            stored.expires - now};
}

// Error kind of a record from an earlier owner. The outcome is unknown unless
// the request was refused or has a complete answer.
auto kind_of_record(const request_record& record) -> error_kind
{
    if (record.state == request_state::refused)
    {
        return error_kind::overloaded;
    }
    const auto complete =
        record.state == request_state::answered && !record.answer.empty();
    return complete ? error_kind::none : error_kind::outcome_unknown;
}

} // namespace

request_engine::request_engine(request_hooks hooks, std::uint64_t seed,
                               request_bounds bounds)
    : state_(std::make_unique<engine_state>(std::move(hooks), seed, bounds))
{
    set_policy({});
}

request_engine::~request_engine() = default;

auto request_engine::set_policy(const service_policy& policy) -> void
{
    state_->policy = policy;
    state_->queue.set_limit(policy.queue_limit);
    state_->budget.set_percent(policy.retry_percent);
}

auto request_engine::set_slots(std::uint32_t slots) -> void
{
    state_->limit.set_slots(slots);
}

auto request_engine::arrive(millis now, const request_arrival& arrival)
    -> arrival_result
{
    return state_->arrive(now, arrival);
}

auto request_engine::on_answer(millis now, std::uint64_t server_token,
                               byte_view answer, server_verdict verdict) -> bool
{
    on_server_heard(now);
    const auto* found = state_->requests.running(server_token);
    if (found == nullptr)
    {
        ++state_->counters.stray_answers;
        return false;
    }
    const auto id = *found;
    // The token table returned a request that runs under another token, whose
    // caller would get the wrong answer.
    BRIARDRUM_INVARIANT(state_->requests.find(id)->server_token ==
                        server_token);
    if (verdict == server_verdict::overloaded)
    {
        state_->on_overloaded(now, id);
    }
    else
    {
        state_->on_answered(now, id, answer);
    }
    state_->dispatch(now);
    return true;
}

auto request_engine::on_server_lost(millis now) -> void
{
    state_->health.on_lost(now);
    state_->limit.restart();
    for (const auto& id : state_->requests.running())
    {
        if (!state_->retry_if_allowed(now, id))
        {
            state_->give_up(now, id);
        }
    }
}

auto request_engine::on_server_ready(millis now) -> void
{
    state_->health.on_ready();
    state_->dispatch(now);
}

auto request_engine::on_server_heard(millis now) -> void
{
    state_->health.on_heard(now);
}

auto request_engine::cancel(millis now, const request_id& id) -> void
{
    state_->cancel(now, id);
}

auto request_engine::tick(millis now) -> void
{
    state_->requests.store().expire(now);
    const auto* due = state_->requests.next_due(now);
    while (due != nullptr)
    {
        // Copied because the table erases its own id when the timer changes.
        state_->on_timer(now, request_id{*due});
        due = state_->requests.next_due(now);
    }
    state_->dispatch(now);
}

auto request_engine::in_progress(const flow_key& flow) const -> std::size_t
{
    return state_->requests.in_progress(flow);
}

auto request_engine::in_progress() const -> std::size_t
{
    return state_->requests.in_progress();
}

auto request_engine::running() const -> std::size_t
{
    return state_->requests.running_count();
}

auto request_engine::extract(millis now, const flow_key& flow)
    -> std::vector<request_record>
{
    std::vector<request_record> out;
    for (auto& stored : state_->requests.extract(now, flow))
    {
        out.push_back(to_record(now, stored));
    }
    return out;
}

auto request_engine::restore(millis now,
                             std::span<const request_record> records) -> void
{
    for (const auto& record : records)
    {
        const auto remaining = std::min(record.remaining, exchange_lifetime);
        state_->requests.restore(now, {record.id, now + remaining,
                                       kind_of_record(record), record.answer});
    }
}

auto request_engine::saturation() const -> std::uint8_t
{
    const auto queued = state_->queue.size();
    const auto load = (running() + queued) * percent / limit();
    return static_cast<std::uint8_t>(std::min(load, percent));
}

auto request_engine::looks_silent(millis now) const -> bool
{
    return state_->is_silent(now);
}

auto request_engine::counters() const -> const request_counters&
{
    return state_->counters;
}

auto request_engine::limit() const -> std::size_t
{
    return state_->limit.value();
}

auto request_engine::stored_bytes() const -> std::size_t
{
    return state_->requests.store().bytes();
}

auto request_engine::stored_count() const -> std::size_t
{
    return state_->requests.store().size();
}

} // namespace briardrum
