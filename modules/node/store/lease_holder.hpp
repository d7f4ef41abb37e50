#ifndef BRIARDRUM_NODE_STORE_LEASE_HOLDER_HPP
#define BRIARDRUM_NODE_STORE_LEASE_HOLDER_HPP

#include "core/core.hpp"
#include "node/store/store.hpp"

#include <functional>
#include <memory>
#include <string>

namespace briardrum
{

struct lease_holder_settings
{
    // Lifetime of the lease without a keep-alive.
    millis ttl = seconds(15);
    event_sink events;
};

// Elects a single writer among several processes with a lease on a key.
//
// The holder creates the key with a lease and keeps the lease alive. When the
// lease expires the key is deleted, and another process may create it. With the
// key the holder creates a second one, whose name is only used for this
// acquisition. Every write compares the create revisions of both as a fencing
// token, so a process that was paused beyond its lease cannot write, even while
// it still considers itself the holder, and even if the store was restored from
// an older copy and has given the revision to another holder.
class lease_holder
{
public:
    // key exists while a process holds the lease; its value is the name of the
    // holder, which no other run of a process may have.
    lease_holder(store& target, std::string key, std::string name,
                 lease_holder_settings settings);
    ~lease_holder();
    lease_holder(const lease_holder&) = delete;
    auto operator=(const lease_holder&) -> lease_holder& = delete;

    // Acquires the lease or keeps it alive; call about every second.
    auto tick(millis now) -> void;

    // True when this process holds the lease, as far as it knows.
    auto is_holder() const -> bool;

    // Commits the writes if this process still holds the lease; otherwise
    // nothing is written and succeeded is false. Fails with
    // error_kind::conflict when this process knows that it does not hold it.
    auto write(std::vector<store_write> writes,
               store_callback<store_commit_result> done) -> void;

private:
    auto acquire() -> void;
    auto create_key(const store_lease& lease) -> void;
    auto keep_alive() -> void;
    auto on_kept_alive(millis requested_at,
                       const absl::StatusOr<store_lease>& lease) -> void;
    auto on_lease_lost(std::string_view reason) -> void;

    store& store_;
    std::string key_;
    std::string name_;
    lease_holder_settings settings_;
    millis now_;
    millis next_attempt_;
    millis held_until_;
    lease_id lease_ = 0;
    // The era in which the lease was acquired.
    store_era era_ = 0;
    std::uint64_t acquisitions_ = 0;
    std::string acquisition_key_;
    // The revision at which the key was created; 0 while not the holder.
    store_revision create_revision_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace briardrum

#endif
