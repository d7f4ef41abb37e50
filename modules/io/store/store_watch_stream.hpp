#ifndef BRIARDRUM_IO_STORE_STORE_WATCH_STREAM_HPP
#define BRIARDRUM_IO_STORE_STORE_WATCH_STREAM_HPP

#include "io/store/store_client.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace httplib
{
class Client;
}

namespace briardrum
{

// One watch of the store: a long answer read line by line on a thread of its
// own. next runs on that thread for every line, and once with an error at
// the end; not after stop().
class store_watch_stream
{
public:
    store_watch_stream(const store_client_settings& settings,
                       const endpoint& address, std::string body,
                       store_callback<store_watch_batch> next);
    // Ends the thread.
    ~store_watch_stream();
    store_watch_stream(const store_watch_stream&) = delete;
    auto operator=(const store_watch_stream&) -> store_watch_stream& = delete;

    auto stop() -> void;

    // True when the thread has nothing more to do.
    auto is_over() const -> bool;

private:
    auto run() -> void;
    auto take(std::string_view bytes) -> bool;
    auto deliver(const absl::StatusOr<store_watch_batch>& batch) -> void;

    std::string body_;
    store_callback<store_watch_batch> next_;
    std::string line_;
    std::unique_ptr<httplib::Client> client_;
    std::atomic<bool> stopping_ = false;
    std::atomic<bool> over_ = false;
    std::mutex deliver_mutex_;
    std::thread thread_;
};

} // namespace briardrum

#endif
