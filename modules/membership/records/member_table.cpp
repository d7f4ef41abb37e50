#include "membership/records/member_table.hpp"

#include <algorithm>
#include <xxhash.h>

namespace briardrum
{

namespace
{

using id_list = std::vector<member_id>;

auto insert_sorted(id_list& ids, member_id id) -> void
{
    ids.insert(std::lower_bound(ids.begin(), ids.end(), id), id);
}

auto erase_sorted(id_list& ids, member_id id) -> void
{
    const auto it = std::lower_bound(ids.begin(), ids.end(), id);
    if (it != ids.end() && *it == id)
    {
        ids.erase(it);
    }
}

auto erase_sorted(std::map<std::string, id_list>& lists, const std::string& key,
                  member_id id) -> void
{
    const auto it = lists.find(key);
    if (it == lists.end())
    {
        return;
    }
    erase_sorted(it->second, id);
    if (it->second.empty())
    {
        lists.erase(it);
    }
}

auto find_list(const std::map<std::string, id_list>& lists,
               const std::string& key) -> std::span<const member_id>
{
    const auto it = lists.find(key);
    return it == lists.end() ? std::span<const member_id>{} : it->second;
}

// Returns true if the two records differ in nothing that routing reads.
auto same_for_routing(const member_record& a, const member_record& b) -> bool
{
    auto copy = a;
    copy.version = b.version;
    copy.held_version = b.held_version;
    return copy == b;
}

// An incarnation is not part of it: a member that started again is the same
// place to ask.
auto digest_of(const member_record& record) -> std::uint64_t
{
    return answers_flow_queries(record)
               ? XXH64(&record.id, sizeof(record.id), 0)
               : 0;
}

} // namespace

auto is_live(member_state state) -> bool
{
    return state < member_state::left;
}

auto answers_flow_queries(const member_record& record) -> bool
{
    return record.kind == member_kind::balancer || record.slots > 0;
}

member_table::member_table(const member_record& first)
{
    add(first);
}

auto member_table::add(const member_record& record) -> void
{
    index_by_id_.emplace(record.id, records_.size());
    records_.push_back(record);
    add_to_indices(record);
    ++epoch_;
}

auto member_table::merge(const member_record& update) -> merge_result
{
    const auto it = index_by_id_.find(update.id);
    if (it == index_by_id_.end())
    {
        if (!is_live(update.state))
        {
            return {merge_outcome::unknown_not_live, {}};
        }
        add(update);
        return {merge_outcome::applied, {}};
    }
    auto& known = records_[it->second];
    if (supersedes(update, known))
    {
        auto before = known;
        replace(known, update);
        return {merge_outcome::applied, std::move(before)};
    }
    if (supersedes(known, update))
    {
        return {merge_outcome::stale, {}};
    }
    known.held_version = std::max(known.held_version, update.held_version);
    return {merge_outcome::duplicate, {}};
}

auto member_table::replace(member_record& known, const member_record& update)
    -> void
{
    // The caller passed an update that does not supersede the known record.
    BRIARDRUM_INVARIANT(update.id == known.id && supersedes(update, known));
    const auto holds = update.incarnation == known.incarnation
                           ? std::max(known.held_version, update.held_version)
                           : update.held_version;
    if (!same_for_routing(known, update))
    {
        remove_from_indices(known);
        known = update;
        add_to_indices(known);
        ++epoch_;
    }
    known.version = update.version;
    known.held_version = holds;
}

auto member_table::erase(std::span<const member_id> ids) -> void
{
    if (ids.empty())
    {
        return;
    }
    id_list sorted(ids.begin(), ids.end());
    std::sort(sorted.begin(), sorted.end());
    std::erase_if(
        records_,
        [&](const member_record& record)
        {
            if (!std::binary_search(sorted.begin(), sorted.end(), record.id))
            {
                return false;
            }
            remove_from_indices(record);
            return true;
        });
    index_by_id_.clear();
    for (std::size_t n = 0; n < records_.size(); ++n)
    {
        index_by_id_.emplace(records_[n].id, n);
    }
    ++epoch_;
}

auto member_table::add_to_indices(const member_record& record) -> void
{
    if (!is_live(record.state))
    {
        return;
    }
    insert_sorted(live_, record.id);
    insert_sorted(data_centres_[record.data_centre], record.id);
    members_digest_ ^= digest_of(record);
    if (record.kind == member_kind::balancer)
    {
        insert_sorted(balancers_, record.id);
    }
    else
    {
        insert_sorted(agents_[record.service_name], record.id);
    }
}

auto member_table::remove_from_indices(const member_record& record) -> void
{
    if (!is_live(record.state))
    {
        return;
    }
    erase_sorted(live_, record.id);
    erase_sorted(data_centres_, record.data_centre, record.id);
    members_digest_ ^= digest_of(record);
    if (record.kind == member_kind::balancer)
    {
        erase_sorted(balancers_, record.id);
    }
    else
    {
        erase_sorted(agents_, record.service_name, record.id);
    }
}

auto member_table::find(member_id id) const -> const member_record*
{
    const auto it = index_by_id_.find(id);
    return it == index_by_id_.end() ? nullptr : &records_[it->second];
}

auto member_table::records() const -> std::span<const member_record>
{
    return records_;
}

auto member_table::agents_of(const std::string& service_name) const
    -> std::span<const member_id>
{
    return find_list(agents_, service_name);
}

auto member_table::balancers() const -> std::span<const member_id>
{
    return balancers_;
}

auto member_table::live_in(const std::string& data_centre) const
    -> std::span<const member_id>
{
    return find_list(data_centres_, data_centre);
}

auto member_table::live() const -> std::span<const member_id>
{
    return live_;
}

auto member_table::data_centres() const
    -> const std::map<std::string, std::vector<member_id>>&
{
    return data_centres_;
}

auto member_table::members_digest() const -> std::uint64_t
{
    return members_digest_;
}

auto member_table::epoch() const -> std::uint64_t
{
    return epoch_;
}

} // namespace briardrum
