#include "requests/engine/request_engine.hpp"

#include "requests/engine/request_table.hpp"
#include "requests/limits/concurrency_limit.hpp"
#include "requests/limits/retry_budget.hpp"
#include "requests/limits/urgency_queue.hpp"

#include <algorithm>
#include <cmath>

namespace briardrum
{

namespace
{

// Longest that a caller's own deadline may be.
constexpr millis deadline_max = minutes(4);
// Longest that a request waits for the server to have room.
constexpr millis queue_time_max = seconds(30);
// How long the answer to a cancelled request is still awaited.
constexpr millis cancel_grace = seconds(1);
// Refused callers are told to come back within these bounds.
constexpr millis retry_after_min = seconds(1);
constexpr millis retry_after_max = seconds(60);
// A server is silent after this, or after so many of its usual latencies.
constexpr millis silence_min = seconds(2);
constexpr double silence_ratio = 8;
// How often a lost server is tried while nothing says that it is back.
constexpr millis lost_retry_interval = seconds(1);
constexpr std::size_t percent = 100;

} // namespace

struct request_engine::state
{
    state(request_hooks given, std::uint64_t seed, request_bounds limits)
        : hooks(std::move(given)), random(seed), bounds(limits)
    {
        limit.set_slots(0);
    }

    auto arrive(millis now, const request_arrival& arrival) -> arrival_result;
    auto repeat(millis now, const request_id& id) -> bool;
    auto add(millis now, const request_arrival& arrival) -> active_request&;
    auto reason_to_refuse(millis now, const request_arrival& arrival) const
        -> error_kind;
    auto make_room(millis now, const request_arrival& arrival) -> bool;
    auto estimated_wait(urgency level, const endpoint& caller) const -> millis;
    auto retry_after(urgency level, const endpoint& caller) -> millis;

    auto refuse(millis now, const request_id& id, error_kind kind) -> void;
    auto give_up(millis now, const request_id& id) -> void;
    auto report(millis now, const active_request& row, error_kind kind) const
        -> void;

    auto dispatch(millis now) -> void;
    auto run(millis now, const request_id& id) -> void;
    auto room_to_run(millis now) const -> bool;
    auto run_timer(const active_request& row) const -> millis;
    auto queue_again(const request_id& id, const active_request& row) -> void;
    auto try_again(millis now, const request_id& id) -> bool;
    auto on_overloaded(millis now, const request_id& id) -> void;

    auto on_timer(millis now, const request_id& id) -> void;
    auto silence_bound() const -> millis;
    auto is_silent(millis now) const -> bool;
    auto has_room_for_answer() const -> bool;
    auto has_room_for_refusal() const -> bool;

    request_hooks hooks;
    random_source random;
    request_bounds bounds;
    service_policy policy;
    request_table requests;
    urgency_queue queue;
    concurrency_limit limit;
    retry_budget budget;
    request_counters counters;
    std::uint64_t next_token = 1;
    bool server_lost = false;
    millis next_trial;
    millis last_heard{INT64_MIN / 2};
};

auto request_engine::state::arrive(millis now, const request_arrival& arrival)
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
    if (!has_room_for_refusal())
    {
        ++counters.dropped;
        return arrival_result::dropped;
    }
    ++counters.arrived;
    budget.deposit();
    auto kind = reason_to_refuse(now, arrival);
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

auto request_engine::state::repeat(millis now, const request_id& id) -> bool
{
    const auto* kept = requests.finished(now, id);
    if (kept == nullptr)
    {
        return false;
    }
    ++counters.repeated;
    if (kept->kind == error_kind::none)
    {
        hooks.answer(id, kept->answer);
        return true;
    }
    hooks.refuse(id, kept->kind, retry_after(urgency::normal, id.flow.caller));
    return true;
}

auto request_engine::state::add(millis now, const request_arrival& arrival)
    -> active_request&
{
    const auto given = arrival.time_left.count > 0 ? arrival.time_left
                                                   : policy.default_deadline;
    active_request row;
    row.repeatable = arrival.repeatable;
    row.level = arrival.level;
    row.arrived = now;
    row.deadline = now + std::min(given, deadline_max);
    row.timer = std::min(row.deadline, now + queue_time_max);
    row.datagram = to_buffer(arrival.datagram);
    return requests.add(now, arrival.id, std::move(row));
}

auto request_engine::state::reason_to_refuse(
    millis now, const request_arrival& arrival) const -> error_kind
{
    const auto waiting = requests.datagram_bytes() + arrival.datagram.size();
    if (!has_room_for_answer() || waiting > bounds.queue_bytes)
    {
        return error_kind::overloaded;
    }
    if (room_to_run(now) && queue.size() == 0)
    {
        return error_kind::none;
    }
    const auto given = arrival.time_left.count > 0 ? arrival.time_left
                                                   : policy.default_deadline;
    const auto wait =
        estimated_wait(arrival.level, arrival.id.flow.caller) +
        millis{static_cast<std::int64_t>(limit.latency().recent())};
    if (wait > given)
    {
        return error_kind::deadline_too_short;
    }
    return wait > queue_time_max ? error_kind::overloaded : error_kind::none;
}

// False when the newcomer itself is the one to be refused.
auto request_engine::state::make_room(millis now,
                                      const request_arrival& arrival) -> bool
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
    const auto* row = requests.find(*victim);
    queue.erase(row->level, *victim);
    refuse(now, *victim, error_kind::overloaded);
    return true;
}

auto request_engine::state::estimated_wait(urgency level,
                                           const endpoint& caller) const
    -> millis
{
    const auto ahead = static_cast<double>(queue.ahead_of(level, caller) + 1);
    const auto at_once = static_cast<double>(limit.value());
    const auto wait = ahead * limit.latency().recent() / at_once;
    return {std::llround(wait)};
}

// Spread over the same time again, so that refused callers do not come back
// together.
auto request_engine::state::retry_after(urgency level, const endpoint& caller)
    -> millis
{
    const auto wait = estimated_wait(level, caller);
    const auto base = std::clamp(wait, retry_after_min, retry_after_max);
    const auto jitter = random.below(static_cast<std::uint64_t>(base.count));
    return base + millis{static_cast<std::int64_t>(jitter)};
}

// Refuses a request that is queued in the table and in no queue. What may
// have run is never told otherwise.
auto request_engine::state::refuse(millis now, const request_id& id,
                                   error_kind kind) -> void
{
    const auto key = id;
    const auto& row = *requests.find(key);
    if (row.may_have_run() && answer_for(kind).not_run)
    {
        kind = error_kind::server_silent;
    }
    const auto cancelled = row.cancelled;
    const auto after = retry_after(row.level, key.flow.caller);
    report(now, row, kind);
    ++counters.refused;
    requests.refuse(now, key, kind);
    if (!cancelled)
    {
        hooks.refuse(key, kind, after);
    }
}

// Ends a running request of which no answer will come.
auto request_engine::state::give_up(millis now, const request_id& id) -> void
{
    const auto key = id;
    const auto& row = *requests.find(key);
    const auto kind = row.repeatable ? error_kind::server_silent
                                     : error_kind::outcome_unknown;
    const auto cancelled = row.cancelled;
    const auto after = retry_after(row.level, key.flow.caller);
    report(now, row, kind);
    ++counters.outcome_unknown;
    requests.give_up(now, key, kind);
    if (!cancelled)
    {
        hooks.refuse(key, kind, after);
    }
}

auto request_engine::state::report(millis now, const active_request& row,
                                   error_kind kind) const -> void
{
    if (hooks.finished)
    {
        hooks.finished({row.level, kind, row.cancelled, now - row.arrived});
    }
}

auto request_engine::state::dispatch(millis now) -> void
{
    while (queue.size() > 0 && room_to_run(now))
    {
        const auto id = queue.pop();
        const auto& row = *requests.find(id);
        if (row.deadline <= now)
        {
            refuse(now, id, error_kind::deadline_too_short);
            continue;
        }
        run(now, id);
    }
}

auto request_engine::state::run(millis now, const request_id& id) -> void
{
    const auto token = next_token++;
    const auto& row = requests.start(now, id, token);
    ++counters.dispatched;
    next_trial = now + lost_retry_interval;
    requests.set_timer(id, run_timer(row));
    // Copied: the hook may answer at once, which ends the request.
    const auto datagram = row.datagram;
    hooks.dispatch(id, token, datagram);
}

auto request_engine::state::room_to_run(millis now) const -> bool
{
    const auto running = requests.running_count();
    if (server_lost)
    {
        return running == 0 && now >= next_trial;
    }
    const auto allowed = is_silent(now) ? 1 : limit.value();
    return running < allowed;
}

// A repeatable request is looked at earlier: its run may have got lost.
auto request_engine::state::run_timer(const active_request& row) const -> millis
{
    if (!row.repeatable || row.runs > 1)
    {
        return row.deadline;
    }
    return std::min(row.deadline, row.dispatched + silence_bound());
}

auto request_engine::state::queue_again(const request_id& id,
                                        const active_request& row) -> void
{
    requests.set_timer(id, row.deadline);
    queue.push_front(row.level, id);
}

// Queues a running repeatable request once more, within the budget.
auto request_engine::state::try_again(millis now, const request_id& id) -> bool
{
    const auto& row = *requests.find(id);
    const auto may =
        row.repeatable && !row.cancelled && row.runs == 1 && row.deadline > now;
    if (!may || !budget.withdraw())
    {
        return false;
    }
    ++counters.retried;
    queue_again(id, requests.retry(id));
    return true;
}

auto request_engine::state::on_overloaded(millis now, const request_id& id)
    -> void
{
    const auto key = id;
    limit.on_overloaded(now);
    const auto& row = requests.shed(key);
    const auto again = row.sheds == 1 && !row.cancelled && row.deadline > now;
    if (again && budget.withdraw())
    {
        ++counters.retried;
        queue_again(key, row);
        return;
    }
    refuse(now, key, error_kind::overloaded);
}

auto request_engine::state::on_timer(millis now, const request_id& id) -> void
{
    const auto key = id;
    const auto& row = *requests.find(key);
    if (row.state == request_state::queued)
    {
        const auto kind = row.deadline <= now ? error_kind::deadline_too_short
                                              : error_kind::overloaded;
        queue.erase(row.level, key);
        refuse(now, key, kind);
        return;
    }
    if (row.deadline > now)
    {
        if (!is_silent(now) || !try_again(now, key))
        {
            requests.set_timer(key, row.deadline);
        }
        return;
    }
    if (!row.cancelled)
    {
        hooks.cancel(key, row.own_token);
    }
    give_up(now, key);
}

auto request_engine::state::silence_bound() const -> millis
{
    const auto usual = silence_ratio * limit.latency().baseline();
    return std::max(silence_min, millis{std::llround(usual)});
}

auto request_engine::state::is_silent(millis now) const -> bool
{
    if (requests.running_count() == 0)
    {
        return false;
    }
    const auto since = std::max(last_heard, requests.oldest_run(now));
    return now - since >= silence_bound();
}

// Every request in progress may still need the room of a whole answer.
auto request_engine::state::has_room_for_answer() const -> bool
{
    const auto each = answer_store::cost(coap_datagram_max);
    const auto owed = (requests.in_progress() + 1) * each;
    return requests.store().bytes() + owed <= bounds.answer_bytes;
}

auto request_engine::state::has_room_for_refusal() const -> bool
{
    const auto each = answer_store::cost(coap_datagram_max);
    const auto owed = (requests.in_progress() + 1) * each;
    return requests.store().bytes() + owed <=
           bounds.answer_bytes + bounds.refusal_bytes;
}

request_engine::request_engine(request_hooks hooks, std::uint64_t seed,
                               request_bounds bounds)
    : state_(std::make_unique<state>(std::move(hooks), seed, bounds))
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

auto request_engine::on_answer(millis now, std::uint64_t own_token,
                               byte_view answer, server_verdict verdict) -> bool
{
    on_server_heard(now);
    const auto* found = state_->requests.running(own_token);
    if (found == nullptr)
    {
        ++state_->counters.stray_answers;
        return false;
    }
    const auto id = *found;
    if (verdict == server_verdict::overloaded)
    {
        state_->on_overloaded(now, id);
        state_->dispatch(now);
        return true;
    }
    const auto& row = *state_->requests.find(id);
    // An answer leaves only for the request whose own token it carries.
    BRIARDRUM_INVARIANT(row.own_token == own_token);
    const auto cancelled = row.cancelled;
    const auto running = state_->requests.running_count();
    state_->limit.on_answered(now, now - row.dispatched, running);
    state_->report(now, row, error_kind::none);
    ++state_->counters.answered;
    state_->requests.answer(now, id, answer);
    if (!cancelled)
    {
        state_->hooks.answer(id, answer);
    }
    state_->dispatch(now);
    return true;
}

auto request_engine::on_server_lost(millis now) -> void
{
    state_->server_lost = true;
    state_->next_trial = now + lost_retry_interval;
    state_->limit.restart();
    for (const auto& id : state_->requests.running())
    {
        if (!state_->try_again(now, id))
        {
            state_->give_up(now, id);
        }
    }
}

auto request_engine::on_server_ready(millis now) -> void
{
    state_->server_lost = false;
    state_->dispatch(now);
}

auto request_engine::on_server_heard(millis now) -> void
{
    state_->last_heard = now;
    state_->server_lost = false;
}

auto request_engine::cancel(millis now, const request_id& id) -> void
{
    auto* row = state_->requests.find(id);
    if (row == nullptr || row->cancelled)
    {
        return;
    }
    ++state_->counters.cancelled;
    row->cancelled = true;
    if (row->state == request_state::queued)
    {
        state_->queue.erase(row->level, id);
        state_->refuse(now, id, error_kind::cancelled_before_run);
        return;
    }
    row->deadline = std::min(row->deadline, now + cancel_grace);
    const auto token = row->own_token;
    state_->requests.set_timer(id, row->deadline);
    state_->hooks.cancel(id, token);
}

auto request_engine::tick(millis now) -> void
{
    state_->requests.store().expire(now);
    const auto* due = state_->requests.next_due(now);
    while (due != nullptr)
    {
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

auto request_engine::take(millis now, const flow_key& flow)
    -> std::vector<request_record>
{
    std::vector<request_record> out;
    for (auto& item : state_->requests.take(now, flow))
    {
        const auto refused = answer_for(item.kind).not_run;
        const auto ended =
            refused ? request_state::refused : request_state::answered;
        out.push_back(
            {item.id, ended, std::move(item.answer), item.expires - now});
    }
    return out;
}

auto request_engine::restore(millis now,
                             std::span<const request_record> records) -> void
{
    for (const auto& item : records)
    {
        auto kind = error_kind::outcome_unknown;
        if (item.state == request_state::refused)
        {
            kind = error_kind::overloaded;
        }
        else if (item.state == request_state::answered && !item.answer.empty())
        {
            kind = error_kind::none;
        }
        const auto remaining = std::min(item.remaining, exchange_lifetime);
        state_->requests.restore(now,
                                 {item.id, now + remaining, kind, item.answer});
    }
}

auto request_engine::saturation() const -> std::uint8_t
{
    const auto waiting = state_->queue.size();
    const auto running = state_->requests.running_count();
    const auto used = (running + waiting) * percent / state_->limit.value();
    return static_cast<std::uint8_t>(std::min(used, percent));
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

auto request_engine::kept_bytes() const -> std::size_t
{
    return state_->requests.store().bytes();
}

auto request_engine::kept_count() const -> std::size_t
{
    return state_->requests.store().size();
}

} // namespace briardrum
