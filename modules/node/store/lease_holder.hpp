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
    // How long the lease lasts without being kept alive.
    millis ttl = seconds(15);
    event_sink events;
};

// Tries to be the one process that writes under a key, by a lease.
//
// The key is created with a lease that is kept alive; it goes when that
// lapses, and another may create it. Every write compares the key's create
// revision, so a holder that was paused past its lease writes nothing even
// while it still takes itself for the holder.
class lease_holder
{
public:
    // key is created while the lease is held; name goes into it as its value.
    lease_holder(store& target, std::string key, std::string name,
                 lease_holder_settings settings);
    ~lease_holder();
    lease_holder(const lease_holder&) = delete;
    auto operator=(const lease_holder&) -> lease_holder& = delete;

    // Tries to get the lease, or keeps it alive; every second or so.
    auto tick(millis now) -> void;

    // True when the lease is held, as far as this process knows.
    auto is_holder() const -> bool;

    // Carries out the writes if the lease is still this one's; succeeded is
    // false, and nothing written, if not. error_kind::conflict when this
    // process knows that it holds no lease.
    auto write(std::vector<store_write> writes,
               store_callback<store_commit_result> done) -> void;

private:
    auto acquire() -> void;
    auto create_key(lease_id lease) -> void;
    auto keep_alive() -> void;
    auto on_lease_lost(std::string_view reason) -> void;

    store& store_;
    std::string key_;
    std::string name_;
    lease_holder_settings settings_;
    millis now_;
    millis next_attempt_;
    millis held_until_;
    lease_id lease_ = 0;
    // The write that created the key; 0 while not held.
    store_revision create_revision_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace briardrum

#endif
