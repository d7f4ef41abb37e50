#ifndef BRIARDRUM_NODE_STORE_STORE_HPP
#define BRIARDRUM_NODE_STORE_STORE_HPP

#include "core/core.hpp"

#include <absl/status/statusor.h>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace briardrum
{

// A counter that increases with every transaction that writes to the store.
using store_revision = std::int64_t;

// Identifies a history of the store; 0 if the store does not tell. A store that
// comes back from an older copy of its data begins another history, in which
// revisions and lease ids are given out again.
using store_era = std::uint64_t;

// A point in one history. Positions are ordered within an era only.
struct store_position
{
    store_era era = 0;
    store_revision revision = 0;

    auto operator==(const store_position&) const -> bool = default;

    // True when this is a later point of the same history, or any point of
    // another one, for histories are not ordered.
    auto may_be_newer_than(const store_position& other) const -> bool
    {
        return era != other.era || revision > other.revision;
    }
};

using lease_id = std::int64_t;

// A stored value. create_revision is the revision that created the key, and
// mod_revision that of its last write.
struct store_value
{
    std::string key;
    std::string value;
    store_revision create_revision = 0;
    store_revision mod_revision = 0;
};

// Selects one key, or all keys in [key, range_end) when range_end is not empty.
struct store_range
{
    std::string key;
    std::string range_end;
    // Maximum number of values in the answer; 0 for all.
    std::int64_t limit = 0;
    // Revision at which to read; 0 for the newest.
    store_revision revision = 0;
    // Accepts an answer that may be seconds old, which is cheaper for the
    // store.
    bool stale_ok = false;
};

struct store_range_result
{
    store_revision revision = 0;
    std::vector<store_value> values;
    // True when the range has values after the last one returned.
    bool more = false;
    store_era era = 0;
};

// A condition on a revision of a key, or on its value. A key that does not
// exist has revision 0 and no value. After a restore a revision is given out
// again, so a revision that was read earlier does not prove that the key is
// unchanged; a value does if each write stores another one.
struct store_compare
{
    enum class field : std::uint8_t
    {
        create_revision,
        mod_revision,
        value,
    };

    std::string key;
    field target = field::mod_revision;
    store_revision expected = 0;
    std::string expected_value = {};
};

// A write within a transaction. A key with a lease is deleted when the lease
// ends.
struct store_write
{
    std::string key;
    std::string value;
    bool removed = false;
    lease_id lease = 0;
};

// Writes that are applied atomically if every compare holds, otherwise not at
// all.
struct store_transaction
{
    std::vector<store_compare> compares;
    std::vector<store_write> writes;
};

struct store_commit_result
{
    bool succeeded = false;
    store_revision revision = 0;
    store_era era = 0;
};

// A lease and its remaining time, counted from the answer; zero when the lease
// has expired.
struct store_lease
{
    lease_id id = 0;
    millis remaining;
    store_era era = 0;
};

struct store_event
{
    std::string key;
    std::string value;
    bool removed = false;
    store_revision mod_revision = 0;
};

// Selects the events of a range, starting at a revision.
struct store_watch
{
    std::string key;
    std::string range_end;
    store_revision start_revision = 0;
};

// Events in order of revision. compacted means that the store no longer has the
// requested events, so the range must be read again.
struct store_watch_batch
{
    store_revision revision = 0;
    std::vector<store_event> events;
    bool compacted = false;
    store_era era = 0;
};

using watch_id = std::uint64_t;

template <typename Result>
using store_callback = std::function<void(absl::StatusOr<Result>)>;

// Asynchronous interface to the platform's key-value store.
//
// Every call returns immediately; its callback runs once, later, on the calling
// thread and within a bounded time. error_kind::unavailable means that nothing
// was done; error_kind::unknown_outcome means that a write may have been
// applied although no answer arrived. The callback of a watch runs for every
// batch until it receives an error, which ends the watch. A watch may stop
// delivering events without an error, so its user has to poll as well.
class store
{
public:
    virtual ~store() = default;

    virtual auto range(const store_range& request,
                       store_callback<store_range_result> done) -> void = 0;
    virtual auto commit(const store_transaction& request,
                        store_callback<store_commit_result> done) -> void = 0;
    virtual auto grant_lease(millis ttl, store_callback<store_lease> done)
        -> void = 0;
    virtual auto keep_alive(lease_id id, store_callback<store_lease> done)
        -> void = 0;
    virtual auto watch(const store_watch& request,
                       store_callback<store_watch_batch> on_batch)
        -> watch_id = 0;
    // The callback of the watch is not called afterwards.
    virtual auto cancel_watch(watch_id id) -> void = 0;
};

// Appends a page to the pages read before it, which keep their revision.
// Returns error_kind::unavailable when the store was restored between the two.
auto append_page(store_range_result& pages, store_range_result page)
    -> absl::Status;

// Returns the range_end that selects all keys with this prefix. The prefix must
// not be empty or end in 0xff.
auto prefix_end(std::string_view prefix) -> std::string;

} // namespace briardrum

#endif
