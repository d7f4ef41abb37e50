#ifndef BRIARDRUM_IO_STORE_STORE_CLIENT_HPP
#define BRIARDRUM_IO_STORE_STORE_CLIENT_HPP

#include "core/core.hpp"
#include "node/store/store.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace briardrum
{

struct store_client_settings
{
    // Addresses of the store; the next is tried when one does not answer.
    std::vector<endpoint> addresses;
    millis connect_timeout = milliseconds(1000);
    // How long one call may take altogether.
    millis call_timeout = seconds(3);
    // A watch that says nothing at all for this long is ended.
    millis watch_timeout = minutes(15);
};

// Calls to the store since the start, by kind; a waiting watch counts as one.
struct store_call_counts
{
    std::uint64_t range = 0;
    std::uint64_t commit = 0;
    std::uint64_t lease = 0;
    std::uint64_t watch = 0;
    std::uint64_t failed = 0;
};

// Talks to the platform's store by etcd's JSON calls over HTTP.
//
// Calls wait in line for one thread; each watch has a thread of its own, as
// it waits all the time. Callbacks are handed to post, which has to run them
// on the thread of the process.
class store_client : public store
{
public:
    store_client(store_client_settings settings,
                 std::function<void(std::function<void()>)> post);
    ~store_client() override;
    store_client(const store_client&) = delete;
    auto operator=(const store_client&) -> store_client& = delete;

    auto range(const store_range& request,
               store_callback<store_range_result> done) -> void override;
    auto commit(const store_transaction& request,
                store_callback<store_commit_result> done) -> void override;
    auto grant_lease(millis span, store_callback<store_lease> done)
        -> void override;
    auto keep_alive(lease_id id, store_callback<store_lease> done)
        -> void override;
    auto watch(const store_watch& request,
               store_callback<store_watch_batch> next) -> watch_id override;
    auto cancel_watch(watch_id id) -> void override;

    auto counts() const -> store_call_counts;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace briardrum

#endif
