#include "requests/engine/request_table.hpp"

namespace briardrum
{

namespace
{

auto is_valid_transition(request_state from, request_state to) -> bool
{
    switch (from)
    {
    case request_state::queued:
        return to == request_state::running || to == request_state::refused;
    case request_state::running:
        return to == request_state::queued || to == request_state::answered;
    case request_state::answered:
    case request_state::refused:
        return false;
    }
    return false;
}

} // namespace

auto request_table::find(const request_id& id) -> active_request*
{
    return active_.find(id);
}

auto request_table::finished(millis now, const request_id& id) const
    -> const stored_answer*
{
    return store_.find(now, id);
}

auto request_table::running(std::uint64_t server_token) const
    -> const request_id*
{
    const auto it = tokens_.find(server_token);
    return it == tokens_.end() ? nullptr : &it->second;
}

auto request_table::add(millis now, const request_id& id, active_request row)
    -> active_request&
{
    // The caller added a request that is already known, so it would run twice.
    BRIARDRUM_INVARIANT(active_.find(id) == nullptr);
    BRIARDRUM_INVARIANT(store_.find(now, id) == nullptr);
    // The caller added a request that is not queued or has already been
    // dispatched.
    BRIARDRUM_INVARIANT(row.state == request_state::queued && row.runs == 0);
    ++per_flow_[id.flow];
    datagram_bytes_ += row.datagram.size();
    timers_.emplace(row.timer, id);
    return active_.insert(id, std::move(row));
}

auto request_table::start(millis now, const request_id& id,
                          std::uint64_t server_token) -> active_request&
{
    auto& row = require(id);
    // The caller started a request that is already finished.
    BRIARDRUM_INVARIANT(store_.find(now, id) == nullptr);
    transition(row, request_state::running);
    ++row.runs;
    row.server_token = server_token;
    row.dispatched = now;
    const auto inserted = tokens_.emplace(server_token, id).second;
    // The caller reused a token; two requests would get each other's answers.
    BRIARDRUM_INVARIANT(inserted);
    return row;
}

auto request_table::shed(const request_id& id) -> active_request&
{
    auto& row = require(id);
    ++row.sheds;
    release_token(row);
    transition(row, request_state::queued);
    return row;
}

auto request_table::retry(const request_id& id) -> active_request&
{
    auto& row = require(id);
    // The caller retried a request that is not repeatable.
    BRIARDRUM_INVARIANT(row.repeatable);
    release_token(row);
    transition(row, request_state::queued);
    return row;
}

auto request_table::answer(millis now, const request_id& id, byte_view answer)
    -> void
{
    auto& row = require(id);
    release_token(row);
    transition(row, request_state::answered);
    finish(now, id, error_kind::none, answer);
}

auto request_table::give_up(millis now, const request_id& id, error_kind kind)
    -> void
{
    auto& row = require(id);
    // The caller reported a request as not run although it may have run.
    BRIARDRUM_INVARIANT(!error_mapping_for(kind).not_run);
    release_token(row);
    transition(row, request_state::answered);
    finish(now, id, kind, {});
}

auto request_table::refuse(millis now, const request_id& id, error_kind kind)
    -> void
{
    auto& row = require(id);
    // The caller refused a request as not run although it may have run.
    BRIARDRUM_INVARIANT(!error_mapping_for(kind).not_run ||
                        !row.may_have_run());
    transition(row, request_state::refused);
    finish(now, id, kind, {});
}

auto request_table::restore(millis now, stored_answer answer) -> void
{
    if (active_.find(answer.id) != nullptr ||
        store_.find(now, answer.id) != nullptr)
    {
        return;
    }
    store_.insert(now, std::move(answer));
}

auto request_table::extract(millis now, const flow_key& flow)
    -> std::vector<stored_answer>
{
    // The caller extracted a flow that has requests in progress; their answers
    // would find no request.
    BRIARDRUM_INVARIANT(in_progress(flow) == 0);
    return store_.extract(now, flow);
}

auto request_table::set_timer(const request_id& id, millis when) -> void
{
    auto& row = require(id);
    timers_.erase({row.timer, id});
    row.timer = when;
    timers_.emplace(when, id);
}

auto request_table::next_due(millis now) const -> const request_id*
{
    if (timers_.empty() || timers_.begin()->first > now)
    {
        return nullptr;
    }
    return &timers_.begin()->second;
}

auto request_table::running() const -> std::vector<request_id>
{
    std::vector<request_id> out;
    out.reserve(tokens_.size());
    for (const auto& [token, id] : tokens_)
    {
        out.push_back(id);
    }
    return out;
}

auto request_table::running_count() const -> std::size_t
{
    return tokens_.size();
}

auto request_table::oldest_run(millis now) const -> millis
{
    if (tokens_.empty())
    {
        return now;
    }
    return active_.find(tokens_.begin()->second)->dispatched;
}

auto request_table::in_progress(const flow_key& flow) const -> std::size_t
{
    const auto it = per_flow_.find(flow);
    return it == per_flow_.end() ? 0 : it->second;
}

auto request_table::in_progress() const -> std::size_t
{
    return active_.size();
}

auto request_table::datagram_bytes() const -> std::size_t
{
    return datagram_bytes_;
}

auto request_table::store() -> answer_store&
{
    return store_;
}

auto request_table::store() const -> const answer_store&
{
    return store_;
}

auto request_table::transition(active_request& row, request_state to) -> void
{
    // The caller requested a state transition that is not allowed.
    BRIARDRUM_INVARIANT(is_valid_transition(row.state, to));
    // The caller dispatched a non-repeatable request again although the server
    // may have run it.
    BRIARDRUM_INVARIANT(to != request_state::running || row.repeatable ||
                        !row.may_have_run());
    row.state = to;
}

auto request_table::release_token(active_request& row) -> void
{
    tokens_.erase(row.server_token);
    row.server_token = 0;
}

auto request_table::finish(millis now, const request_id& id, error_kind kind,
                           byte_view answer) -> void
{
    const auto key = id;
    auto& row = require(key);
    timers_.erase({row.timer, key});
    datagram_bytes_ -= row.datagram.size();
    const auto flow_count = per_flow_.find(key.flow);
    if (--flow_count->second == 0)
    {
        per_flow_.erase(flow_count);
    }
    stored_answer result{key, now + exchange_lifetime, kind, to_buffer(answer)};
    active_.erase(key);
    store_.insert(now, std::move(result));
}

auto request_table::require(const request_id& id) -> active_request&
{
    auto* row = active_.find(id);
    // The caller named a request that is not in progress.
    BRIARDRUM_INVARIANT(row != nullptr);
    return *row;
}

} // namespace briardrum
