#include "packets/agent/server_conduct.hpp"

#include <algorithm>

namespace briardrum
{

namespace
{

constexpr millis window_span = seconds(2);
constexpr std::size_t requests_min = 8;
constexpr std::uint64_t answers_to_recover = 8;
// A server with two slots and a queue of eight answers within five times its
// work when it is full. More than that is not a matter of load.
constexpr std::int64_t limit_ratio = 8;
// A faulty server gets less work and so answers sooner. It has recovered at
// half of the ratio; at the same ratio, a slow server would seem healthy
// whenever it has less to do.
constexpr std::int64_t recovery_ratio = 4;
// Half of the shortest latency objective, 120 ms. Times below it depend on when
// the agent is scheduled.
constexpr millis recovery_limit_min = milliseconds(60);
// An agent that did not run for this long may find answers waiting that came
// in time. The system gives an agent with a small share of a core up to 100 ms
// of pause.
constexpr millis pause_min = milliseconds(100);
// A faulty server without any request for this long is offered flows at its
// full weight again, of which it gets the probes.
constexpr millis request_lack = seconds(5);

} // namespace

server_conduct::server_conduct(bool enabled) : enabled_(enabled) {}

auto server_conduct::is_enabled() const -> bool
{
    return enabled_;
}

auto server_conduct::set_slots(std::uint32_t slots) -> void
{
    slots_ = std::max<std::uint32_t>(1, slots);
}

auto server_conduct::on_request(millis now, const flow_key& flow,
                                millis opened_at) -> void
{
    if (!enabled_ || opened_at < replaced_at_)
    {
        return;
    }
    last_request_at_ = now;
    const auto ahead = pending_.size();
    const auto usual = baseline_.median().value_or(millis{});
    pending_.insert(flow) = {
        now, usual * static_cast<std::int64_t>(ahead) / slots_, ahead < slots_};
}

auto server_conduct::on_answer(millis now, const flow_key& flow) -> void
{
    const auto* found = pending_.find(flow);
    if (found == nullptr)
    {
        return;
    }
    const auto request = *found;
    pending_.erase(flow);
    const auto elapsed = now - request.sent_at;
    if (elapsed > answer_limit() + request.queueing)
    {
        judge(now, outcome::unanswered);
        return;
    }
    judge(now, outcome::answered);
    const auto soon = elapsed <= recovery_limit() + request.queueing;
    answered_in_a_row_ = soon ? answered_in_a_row_ + 1 : 0;
    // The time that a request waited is not the server's work, and a faulty
    // server's answers are not its usual ones.
    if (request.found_free_slot && !faulty_)
    {
        baseline_.add(now, elapsed);
    }
}

auto server_conduct::on_broken_off(millis now, const flow_key& flow,
                                   millis opened_at) -> void
{
    if (!enabled_ || opened_at < replaced_at_)
    {
        return;
    }
    const auto was_pending = pending_.erase(flow);
    // The request was counted as answered when its answer began.
    const auto counted = std::find_if(window_.rbegin(), window_.rend(),
                                      [](const judged_request& it)
                                      {
                                          return it.result == outcome::answered;
                                      });
    if (!was_pending && counted != window_.rend())
    {
        window_.erase(std::next(counted).base());
    }
    judge(now, outcome::broken_off);
}

auto server_conduct::forget(const flow_key& flow) -> void
{
    pending_.erase(flow);
}

auto server_conduct::on_heartbeat(millis now) -> void
{
    drop_older_requests(now);
    found_faulty_ = !faulty_ && has_failed();
}

auto server_conduct::on_replaced(millis now) -> void
{
    pending_ = {};
    window_.clear();
    baseline_.clear();
    answered_in_a_row_ = 0;
    found_faulty_ = false;
    found_replaced_ = faulty_;
    replaced_at_ = now;
}

auto server_conduct::tick(millis now) -> conduct_change
{
    if (!enabled_)
    {
        return conduct_change::none;
    }
    allow_for_pause(now);
    judge_overdue(now);
    drop_older_requests(now);
    if (faulty_ &&
        (found_replaced_ || answered_in_a_row_ >= answers_to_recover))
    {
        faulty_ = false;
        found_replaced_ = false;
        window_.clear();
        return conduct_change::recovered;
    }
    if (found_faulty_)
    {
        found_faulty_ = false;
        faulty_ = true;
        answered_in_a_row_ = 0;
        return conduct_change::became_faulty;
    }
    return conduct_change::none;
}

auto server_conduct::drop_older_requests(millis now) -> void
{
    while (!window_.empty() && now - window_.front().at > window_span)
    {
        window_.pop_front();
    }
}

// The server may have gone on while the agent did not run.
auto server_conduct::allow_for_pause(millis now) -> void
{
    const auto gap = now - last_tick_at_.value_or(now);
    last_tick_at_ = now;
    if (gap < pause_min)
    {
        return;
    }
    for (auto& [flow, request] : pending_.rows())
    {
        request.sent_at = std::min(now, request.sent_at + gap);
    }
}

auto server_conduct::judge_overdue(millis now) -> void
{
    const auto limit = answer_limit();
    std::vector<flow_key> overdue;
    for (const auto& [flow, request] : pending_.rows())
    {
        if (now - request.sent_at > limit + request.queueing)
        {
            overdue.push_back(flow);
        }
    }
    for (const auto& flow : overdue)
    {
        pending_.erase(flow);
        judge(now, outcome::unanswered);
    }
}

auto server_conduct::judge(millis now, outcome result) -> void
{
    window_.push_back({now, result});
    if (result != outcome::answered)
    {
        answered_in_a_row_ = 0;
    }
}

auto server_conduct::has_failed() const -> bool
{
    const auto failed = count(outcome::unanswered) + count(outcome::broken_off);
    return window_.size() >= requests_min && failed * 2 >= window_.size();
}

auto server_conduct::count(outcome result) const -> std::uint64_t
{
    return static_cast<std::uint64_t>(
        std::count_if(window_.begin(), window_.end(),
                      [&](const judged_request& it)
                      {
                          return it.result == result;
                      }));
}

auto server_conduct::is_faulty() const -> bool
{
    return faulty_;
}

auto server_conduct::lacks_requests(millis now) const -> bool
{
    return faulty_ && now - last_request_at_ > request_lack;
}

auto server_conduct::answer_limit() const -> millis
{
    if (!baseline_.is_settled())
    {
        return answer_limit_max;
    }
    return std::clamp(*baseline_.median() * limit_ratio, answer_limit_min,
                      answer_limit_max);
}

auto server_conduct::recovery_limit() const -> millis
{
    const auto limit_max = answer_limit_max / 2;
    if (!baseline_.is_settled())
    {
        return limit_max;
    }
    return std::clamp(*baseline_.median() * recovery_ratio, recovery_limit_min,
                      limit_max);
}

auto server_conduct::report() const -> conduct_report
{
    conduct_report out;
    out.requests = window_.size();
    out.unanswered = count(outcome::unanswered);
    out.broken_off = count(outcome::broken_off);
    out.pending = pending_.size();
    out.answered_in_a_row = answered_in_a_row_;
    out.answer_limit = answer_limit();
    out.usual_answer_time = baseline_.median().value_or(millis{});
    return out;
}

} // namespace briardrum
