#include "membership/policy/policy_spreader.hpp"

#include <algorithm>
#include <utility>

namespace briardrum
{

namespace
{

auto has_same_content(const placement_policy& a, const placement_policy& b)
    -> bool
{
    return a.evacuated == b.evacuated && a.warm_up == b.warm_up;
}

} // namespace

auto evacuated_text(const placement_policy& policy) -> std::string
{
    std::string out;
    for (const auto& name : policy.evacuated)
    {
        out += (out.empty() ? "" : ",") + name;
    }
    return out.empty() ? "none" : out;
}

policy_spreader::policy_spreader(const member_view& members,
                                 policy_spreader_settings settings,
                                 policy_spreader_hooks hooks,
                                 std::uint64_t seed)
    : members_(members), settings_(settings), hooks_(std::move(hooks)),
      random_(seed)
{
}

auto policy_spreader::on_store(millis now, const stored_policy& stored) -> void
{
    if (stored.confirmed_revision <= 0)
    {
        return;
    }
    const auto& next = stored.policy;
    if (is_known() && policy_.era == next.era &&
        has_same_content(policy_, next))
    {
        confirmed_revision_ =
            std::max(confirmed_revision_, stored.confirmed_revision);
        return;
    }
    // A member may have told of a later state than this answer.
    if (next.supersedes(policy_))
    {
        adopt(now, next, "store");
        confirmed_revision_ = stored.confirmed_revision;
    }
}

auto policy_spreader::on_message(millis now, member_id from,
                                 const endpoint& from_address,
                                 const placement_policy_message& message)
    -> void
{
    const auto& theirs = message.policy;
    if (theirs.revision > 0 && theirs.supersedes(policy_))
    {
        if (!is_denied_by_store(theirs))
        {
            const auto* sender = members_.find(from);
            adopt(now, theirs,
                  sender == nullptr ? "unknown_member" : sender->name);
            return;
        }
        auto again = policy_;
        again.revision = confirmed_revision_;
        adopt(now, again, "store_confirmed");
        rounds_left_ = settings_.rounds;
        next_round_ = now;
    }
    if (policy_.supersedes(theirs))
    {
        counters_.outdated += theirs.revision > 0 ? 1 : 0;
        answer(now, from, from_address);
    }
}

// The store had the own content at a later revision than that of the policy,
// which therefore has been superseded there.
auto policy_spreader::is_denied_by_store(const placement_policy& theirs) const
    -> bool
{
    return theirs.era == policy_.era && theirs.revision < confirmed_revision_ &&
           !has_same_content(theirs, policy_);
}

// A policy that differs by its revision only is not sent on: members with the
// older revision have the same content.
auto policy_spreader::adopt(millis now, const placement_policy& next,
                            std::string_view source) -> void
{
    const auto was = std::exchange(policy_, next);
    confirmed_revision_ = 0;
    if (was.revision > 0 && was.era == next.era && has_same_content(was, next))
    {
        return;
    }
    ++counters_.changes;
    if (hooks_.events)
    {
        hooks_.events(
            event("placement_policy_changed")
                .with("era", next.era)
                .with("revision", static_cast<std::uint64_t>(next.revision))
                .with("was_revision", static_cast<std::uint64_t>(was.revision))
                .with("evacuated", evacuated_text(next))
                .with("limits", std::uint64_t{next.warm_up.size()})
                .with("source", source));
    }
    rounds_left_ = settings_.rounds;
    next_round_ = now;
    if (next_repair_ <= now)
    {
        const auto delay = random_.below(
            static_cast<std::uint64_t>(settings_.repair_interval.count));
        next_repair_ = now + milliseconds(static_cast<std::int64_t>(delay));
    }
    send_round(now);
    hooks_.on_policy(now, policy_);
}

auto policy_spreader::answer(millis now, member_id to, const endpoint& address)
    -> void
{
    const auto last = answered_at_.find(to);
    if (last != answered_at_.end() &&
        now - last->second < settings_.answer_interval)
    {
        return;
    }
    answered_at_[to] = now;
    ++counters_.sent;
    hooks_.send(address, {policy_});
}

auto policy_spreader::tick(millis now) -> void
{
    forget_answers(now);
    if (!is_known())
    {
        if (now >= next_request_ &&
            send_to_random(settings_.members_per_request, {}) > 0)
        {
            next_request_ = now + settings_.request_interval;
        }
        return;
    }
    send_round(now);
    if (now >= next_repair_)
    {
        next_repair_ = now + settings_.repair_interval;
        send_to_random(1, {policy_});
    }
}

auto policy_spreader::send_round(millis now) -> void
{
    if (rounds_left_ == 0 || now < next_round_)
    {
        return;
    }
    --rounds_left_;
    next_round_ = now + settings_.round_interval;
    send_to_random(settings_.members_per_round, {policy_});
}

// Returns the number of members that the message was sent to.
auto policy_spreader::send_to_random(std::uint32_t count,
                                     const placement_policy_message& message)
    -> std::uint32_t
{
    const auto live = members_.live();
    std::vector<member_id> others(live.begin(), live.end());
    std::erase(others, members_.self().id);
    const auto n = std::min<std::size_t>(count, others.size());
    for (std::size_t chosen = 0; chosen < n; ++chosen)
    {
        const auto at = chosen + random_.below(others.size() - chosen);
        std::swap(others[chosen], others[at]);
        const auto* record = members_.find(others[chosen]);
        hooks_.send(record->control_address, message);
    }
    const auto is_request = message.policy.revision == 0;
    (is_request ? counters_.requests : counters_.sent) += n;
    return static_cast<std::uint32_t>(n);
}

auto policy_spreader::forget_answers(millis now) -> void
{
    std::erase_if(answered_at_,
                  [&](const auto& item)
                  {
                      return now - item.second >= settings_.answer_interval;
                  });
}

auto policy_spreader::is_known() const -> bool
{
    return policy_.revision > 0;
}

auto policy_spreader::policy() const -> const placement_policy&
{
    return policy_;
}

auto policy_spreader::counters() const -> const policy_spreader_counters&
{
    return counters_;
}

} // namespace briardrum
