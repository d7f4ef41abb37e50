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

// Counts the writes of the whole store; every transaction has one.
using store_revision = std::int64_t;

using lease_id = std::int64_t;

// A stored value. create_revision is the write that made the key, and
// mod_revision its last write.
struct store_value
{
    std::string key;
    std::string value;
    store_revision create_revision = 0;
    store_revision mod_revision = 0;
};

// One key, or all from key up to but without range_end.
struct store_range
{
    std::string key;
    std::string range_end;
    // Most values in the answer; 0 means all.
    std::int64_t limit = 0;
    // The state to read; 0 means the newest.
    store_revision revision = 0;
    // An answer that is seconds old will do; it costs the store less.
    bool stale_ok = false;
};

struct store_range_result
{
    store_revision revision = 0;
    std::vector<store_value> values;
    // There are values behind the last one.
    bool more = false;
};

// What must hold of a key for a transaction to be carried out. A key that
// does not exist has revision 0.
struct store_compare
{
    enum class field : std::uint8_t
    {
        create_revision,
        mod_revision,
    };

    std::string key;
    field target = field::mod_revision;
    store_revision expected = 0;
};

// A write of a transaction. With a lease, the key goes when the lease does.
struct store_write
{
    std::string key;
    std::string value;
    bool removed = false;
    lease_id lease = 0;
};

// Writes that are done all at once when every compare holds, else not at all.
struct store_transaction
{
    std::vector<store_compare> compares;
    std::vector<store_write> writes;
};

struct store_commit_result
{
    bool succeeded = false;
    store_revision revision = 0;
};

// A lease that lasts for this long from the answer on; none when over.
struct store_lease
{
    lease_id id = 0;
    millis remaining;
};

struct store_event
{
    std::string key;
    std::string value;
    bool removed = false;
    store_revision mod_revision = 0;
};

// The events of a range from a revision on, as they happen.
struct store_watch
{
    std::string key;
    std::string range_end;
    store_revision start_revision = 0;
};

// Events in the order of their revisions. compacted means that the store no
// longer has the events asked for: read the range again.
struct store_watch_batch
{
    store_revision revision = 0;
    std::vector<store_event> events;
    bool compacted = false;
};

using watch_id = std::uint64_t;

template <typename Result>
using store_callback = std::function<void(absl::StatusOr<Result>)>;

// The platform's key-value store, as this project uses it.
//
// Every call returns at once; its callback runs later, once, on the thread
// that made the call, within a bounded time. error_kind::unavailable means
// that nothing was done; error_kind::unknown_outcome, that a write may have
// been done though no answer came. The callback of a watch runs for every
// batch until it is handed an error, which ends the watch. A watch may go
// silent without an error, so its user has to look for itself as well.
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
    // The callback of the watch is not run any more.
    virtual auto cancel_watch(watch_id id) -> void = 0;
};

// The range_end for all keys with this prefix.
auto prefix_end(std::string_view prefix) -> std::string;

} // namespace briardrum

#endif
