#include "packets/agent/agent_census.hpp"

#include "packets/model/known_members.hpp"

#include <algorithm>
#include <limits>

namespace briardrum
{

agent_census::agent_census(const member_view& members, millis flow_lifetime,
                           millis started_at)
    : members_(members), flow_lifetime_(flow_lifetime), started_at_(started_at)
{
}

auto agent_census::may_hold_flows(const member_record& record) -> bool
{
    return record.kind == member_kind::agent && answers_flow_queries(record);
}

auto agent_census::refresh(millis now) -> void
{
    if (members_.epoch() == epoch_)
    {
        return;
    }
    epoch_ = members_.epoch();
    for (const auto& record : members_.records())
    {
        if (record.kind != member_kind::agent)
        {
            continue;
        }
        follow(now, record);
    }
    known_ = std::make_shared<const id_list>(list_known_members(members_));
    forget_unknown(now);
}

auto agent_census::follow(millis now, const member_record& record) -> void
{
    if (record.state == member_state::suspect)
    {
        suspected_since_.try_emplace(record.id, now);
    }
    else if (is_live(record.state))
    {
        suspected_since_.erase(record.id);
    }
    if (is_live(record.state))
    {
        departed_.erase(record.id);
    }
    else
    {
        on_departed(now, record);
    }
}

// Members without a record are remembered no longer than needed.
auto agent_census::forget_unknown(millis now) -> void
{
    const auto is_unknown = [&](const auto& item)
    {
        return members_.find(item.first) == nullptr;
    };
    std::erase_if(replies_, is_unknown);
    std::erase_if(suspected_since_, is_unknown);
    std::erase_if(departed_,
                  [&](const auto& item)
                  {
                      return members_.find(item.first) == nullptr &&
                             now - item.second.since >= flow_lifetime_;
                  });
}

auto agent_census::on_departed(millis now, const member_record& record) -> void
{
    // The record of an agent that left is its own last word; that of a dead one
    // may be out of date.
    const auto left = record.state == member_state::left;
    if (left && !may_hold_flows(record))
    {
        departed_.erase(record.id);
    }
    else
    {
        // A dead member was out of reach when it became suspect.
        const auto suspected = suspected_since_.find(record.id);
        const auto since =
            suspected == suspected_since_.end() ? now : suspected->second;
        const auto [it, added] = departed_.try_emplace(
            record.id,
            departed_agent{record.data_address.address, since, left});
        it->second.address = record.data_address.address;
        it->second.stopped = it->second.stopped || left;
    }
}

auto agent_census::on_registered(millis now,
                                 std::span<const listed_agent> agents) -> void
{
    has_registered_agents_ = true;
    for (const auto& it : agents)
    {
        if (members_.find(it.id) == nullptr)
        {
            departed_.try_emplace(it.id, departed_agent{0, now});
        }
    }
}

auto agent_census::is_settled(millis now) const -> bool
{
    return has_registered_agents_ && now - started_at_ >= start_up_time &&
           !members_.is_alone() && !members_.is_isolated(now);
}

auto agent_census::on_reply(member_id from, const flow_reply_message& message)
    -> void
{
    auto& it = replies_[from];
    if (message.sequence < it.query)
    {
        return;
    }
    it.query = message.sequence;
    if (message.members_digest == members_.members_digest())
    {
        it.members = known_;
        return;
    }
    auto members = message.members;
    std::sort(members.begin(), members.end());
    // A sender that lists nobody says nothing about the members that it knows.
    it.members = members.empty()
                     ? nullptr
                     : std::make_shared<const id_list>(std::move(members));
}

auto agent_census::agrees(member_id id, std::uint64_t query) const -> bool
{
    const auto* record = members_.find(id);
    const auto excused = record == nullptr || !answers_flow_queries(*record);
    return excused || id == members_.self().id || agreed_query(id) >= query;
}

// Returns the last query that this member has replied to, or 0 if it knows
// members that are not known here.
auto agent_census::agreed_query(member_id id) const -> std::uint64_t
{
    const auto it = replies_.find(id);
    if (it == replies_.end() || it->second.members == nullptr)
    {
        return 0;
    }
    const auto& listed = it->second.members;
    const auto all_known =
        listed == known_ || std::includes(known_->begin(), known_->end(),
                                          listed->begin(), listed->end());
    return all_known ? it->second.query : 0;
}

auto agent_census::missing_replies(std::uint64_t query) const -> std::size_t
{
    const auto live = members_.live();
    const auto n = std::count_if(live.begin(), live.end(),
                                 [&](member_id id)
                                 {
                                     return !agrees(id, query);
                                 });
    return static_cast<std::size_t>(n);
}

auto agent_census::departed_count(millis now) const -> std::size_t
{
    const auto n = std::count_if(departed_.begin(), departed_.end(),
                                 [&](const auto& it)
                                 {
                                     return is_of_concern(now, it.second);
                                 });
    return static_cast<std::size_t>(n);
}

auto agent_census::complete_for(millis now) const -> std::uint64_t
{
    if (!is_settled(now))
    {
        return 0;
    }
    auto query = std::numeric_limits<std::uint64_t>::max();
    for (const auto id : members_.live())
    {
        const auto* record = members_.find(id);
        const auto excused = record == nullptr ||
                             !answers_flow_queries(*record) ||
                             id == members_.self().id;
        query = excused ? query : std::min(query, agreed_query(id));
    }
    return query;
}

auto agent_census::unreachable_for(millis now) const -> millis
{
    auto out = flow_lifetime_;
    for (const auto& [id, it] : departed_)
    {
        if (is_of_concern(now, it))
        {
            out = std::min(out, it.stopped ? millis{} : now - it.since);
        }
    }
    return out;
}

// A server that started at the address of another one has replaced it.
auto agent_census::is_of_concern(millis now, const departed_agent& it) const
    -> bool
{
    return now - it.since < flow_lifetime_ && !is_address_in_use(it.address);
}

auto agent_census::is_address_in_use(std::uint32_t address) const -> bool
{
    const auto all = members_.records();
    return std::any_of(all.begin(), all.end(),
                       [&](const member_record& record)
                       {
                           return record.kind == member_kind::agent &&
                                  is_live(record.state) &&
                                  record.data_address.address == address;
                       });
}

auto agent_census::clear() -> void
{
    replies_.clear();
}

} // namespace briardrum
