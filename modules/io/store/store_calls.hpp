#ifndef BRIARDRUM_IO_STORE_STORE_CALLS_HPP
#define BRIARDRUM_IO_STORE_STORE_CALLS_HPP

#include "io/store/store_client.hpp"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace briardrum
{

// One HTTP call: where to, what, and what to do with the answer's text. done
// runs on the calling thread of store_calls.
struct store_call
{
    std::string path;
    std::string body;
    // A write whose answer is lost may have been done.
    bool is_write = false;
    std::function<void(const absl::StatusOr<std::string>&)> done;
};

// Carries out calls to the store one after the other on a thread of its own.
class store_calls
{
public:
    explicit store_calls(store_client_settings settings);
    // Ends after the call that is under way; those in line are dropped.
    ~store_calls();
    store_calls(const store_calls&) = delete;
    auto operator=(const store_calls&) -> store_calls& = delete;

    // False, and done is not run, when too many wait already.
    auto add(store_call call) -> bool;

private:
    auto run() -> void;
    auto take(store_call& out) -> bool;

    store_client_settings settings_;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::deque<store_call> waiting_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace briardrum

#endif
