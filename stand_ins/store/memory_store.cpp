#include "stand_ins/store/memory_store.hpp"

#include <algorithm>
#include <utility>

namespace briardrum::stand_in
{

namespace
{

constexpr std::size_t events_max = 100'000;

auto is_in(const std::string& key, const std::string& from,
           const std::string& range_end) -> bool
{
    return range_end.empty() ? key == from : key >= from && key < range_end;
}

} // namespace

auto memory_store::range(const store_range& request) const -> store_range_result
{
    store_range_result out;
    out.revision = revision_;
    out.era = era_;
    const auto most =
        request.limit == 0 ? entries_.size() : std::size_t(request.limit);
    for (auto it = entries_.lower_bound(request.key);
         it != entries_.end() &&
         is_in(it->first, request.key, request.range_end);
         ++it)
    {
        if (out.values.size() == most)
        {
            out.more = true;
            break;
        }
        out.values.push_back({it->first, it->second.value, it->second.created,
                              it->second.modified});
    }
    return out;
}

auto memory_store::commit(const store_transaction& request)
    -> store_commit_result
{
    const auto all =
        std::all_of(request.compares.begin(), request.compares.end(),
                    [&](const store_compare& compare)
                    {
                        return holds(compare);
                    });
    if (!all || request.writes.empty())
    {
        return {all, revision_, era_};
    }
    ++revision_;
    for (const auto& write : request.writes)
    {
        if (write.removed)
        {
            remove(write.key);
            continue;
        }
        auto& item = entries_[write.key];
        item.created = item.created == 0 ? revision_ : item.created;
        item.modified = revision_;
        item.value = write.value;
        item.lease = write.lease;
        record({write.key, write.value, false, revision_});
    }
    return {true, revision_, era_};
}

auto memory_store::grant_lease(millis now, millis span) -> store_lease
{
    const auto id = next_lease_++;
    leases_[id] = {now + span, span};
    return {id, span, era_};
}

auto memory_store::keep_alive(millis now, lease_id id) -> store_lease
{
    expire(now);
    const auto it = leases_.find(id);
    if (it == leases_.end())
    {
        return {id, {}, era_};
    }
    it->second.until = now + it->second.span;
    return {id, it->second.span, era_};
}

auto memory_store::expire(millis now) -> void
{
    constexpr lease_id first_lease = 1;
    if (next_lease_ == first_lease)
    {
        return;
    }
    std::vector<std::string> lapsed;
    for (const auto& [key, item] : entries_)
    {
        const auto it = leases_.find(item.lease);
        if (item.lease != 0 && (it == leases_.end() || it->second.until <= now))
        {
            lapsed.push_back(key);
        }
    }
    std::erase_if(leases_,
                  [&](const auto& item)
                  {
                      return item.second.until <= now;
                  });
    for (const auto& key : lapsed)
    {
        ++revision_;
        remove(key);
    }
}

auto memory_store::expire_all() -> void
{
    leases_.clear();
    expire({});
}

auto memory_store::events_since(const store_watch& request) const
    -> std::optional<std::vector<store_event>>
{
    if (request.start_revision <= compacted_)
    {
        return std::nullopt;
    }
    std::vector<store_event> out;
    for (const auto& item : events_)
    {
        if (item.mod_revision >= request.start_revision &&
            is_in(item.key, request.key, request.range_end))
        {
            out.push_back(item);
        }
    }
    return out;
}

auto memory_store::revision() const -> store_revision
{
    return revision_;
}

auto memory_store::era() const -> store_era
{
    return era_;
}

auto memory_store::restore(const memory_store& copy) -> void
{
    const auto era = era_ + 1;
    *this = copy;
    era_ = era;
}

auto memory_store::compact() -> void
{
    compacted_ = revision_;
    events_.clear();
}

auto memory_store::holds(const store_compare& compare) const -> bool
{
    const auto it = entries_.find(compare.key);
    if (it == entries_.end())
    {
        return compare.target != store_compare::field::value &&
               compare.expected == 0;
    }
    if (compare.target == store_compare::field::value)
    {
        return it->second.value == compare.expected_value;
    }
    const auto found = compare.target == store_compare::field::mod_revision
                           ? it->second.modified
                           : it->second.created;
    return found == compare.expected;
}

auto memory_store::remove(const std::string& key) -> void
{
    if (entries_.erase(key) != 0)
    {
        record({key, "", true, revision_});
    }
}

auto memory_store::record(store_event event) -> void
{
    events_.push_back(std::move(event));
    while (events_.size() > events_max)
    {
        compacted_ = events_.front().mod_revision;
        events_.pop_front();
    }
}

} // namespace briardrum::stand_in
