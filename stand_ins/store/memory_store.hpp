#ifndef BRIARDRUM_STAND_INS_STORE_MEMORY_STORE_HPP
#define BRIARDRUM_STAND_INS_STORE_MEMORY_STORE_HPP

#include "node/store/store.hpp"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace briardrum::stand_in
{

// A key-value store in memory with revisions, transactions, leases and the
// events of the recent past. It does each call at once; clocks, networks and
// faults are for its user.
class memory_store
{
public:
    auto range(const store_range& request) const -> store_range_result;

    auto commit(const store_transaction& request) -> store_commit_result;

    auto grant_lease(millis now, millis span) -> store_lease;

    // remaining is 0 when the lease is over.
    auto keep_alive(millis now, lease_id id) -> store_lease;

    // Removes the keys of leases that are over; every call or so.
    auto expire(millis now) -> void;

    // Ends every lease now, as a store does that lost its clock.
    auto expire_all() -> void;

    // The events of a range from a revision on; nothing when they are
    // compacted away.
    auto events_since(const store_watch& request) const
        -> std::optional<std::vector<store_event>>;

    auto revision() const -> store_revision;

    // Rises by one with each restore().
    auto era() const -> store_era;

    // Comes back from an older copy of itself: revisions and lease ids go back
    // and are given out again.
    auto restore(const memory_store& copy) -> void;

    // Forgets the events up to the newest revision.
    auto compact() -> void;

private:
    struct entry
    {
        std::string value;
        store_revision created = 0;
        store_revision modified = 0;
        lease_id lease = 0;
    };

    struct lease
    {
        millis until;
        millis span;
    };

    auto holds(const store_compare& compare) const -> bool;
    auto remove(const std::string& key) -> void;
    auto record(store_event event) -> void;

    std::map<std::string, entry> entries_;
    std::map<lease_id, lease> leases_;
    std::deque<store_event> events_;
    store_era era_ = 1;
    store_revision revision_ = 1;
    store_revision compacted_ = 0;
    lease_id next_lease_ = 1;
};

} // namespace briardrum::stand_in

#endif
