#include "io/store/store_watch_stream.hpp"

#include "io/store/etcd_json.hpp"
#include "io/store/store_http.hpp"

#include <chrono>
#include <utility>

namespace briardrum
{

namespace
{

constexpr const char* watch_path = "/v3/watch";

// A line longer than the largest value and its frame is no answer.
constexpr std::size_t line_bytes_max = std::size_t{16} * 1024 * 1024;

constexpr std::chrono::milliseconds stop_interval(20);

} // namespace

store_watch_stream::store_watch_stream(const store_client_settings& settings,
                                       const endpoint& address,
                                       std::string body,
                                       store_callback<store_watch_batch> next)
    : body_(std::move(body)), next_(std::move(next)),
      client_(make_http_client(address, settings.connect_timeout,
                               settings.watch_timeout)),
      thread_(
          [this]
          {
              run();
          })
{
}

store_watch_stream::~store_watch_stream()
{
    stop();
    // A connection that was only being made when stop() came opens after it.
    while (!over_)
    {
        client_->stop();
        std::this_thread::sleep_for(stop_interval);
    }
    thread_.join();
}

auto store_watch_stream::stop() -> void
{
    {
        const std::lock_guard lock(deliver_mutex_);
        stopping_ = true;
    }
    client_->stop();
}

auto store_watch_stream::is_over() const -> bool
{
    return over_;
}

auto store_watch_stream::run() -> void
{
    httplib::Request request;
    request.method = "POST";
    request.path = watch_path;
    request.body = body_;
    request.set_header("Content-Type", json_type);
    request.content_receiver =
        [this](const char* data, std::size_t size, std::uint64_t, std::uint64_t)
    {
        return take({data, size});
    };
    const auto answer = client_->send(request);
    deliver(make_error(error_kind::unavailable,
                       answer
                           ? "the store ended the watch"
                           : "watch: " + httplib::to_string(answer.error())));
    over_ = true;
}

// Takes what came in and hands on the lines that are whole; false ends the
// watch.
auto store_watch_stream::take(std::string_view bytes) -> bool
{
    line_ += bytes;
    for (auto end = line_.find('\n'); end != std::string::npos;
         end = line_.find('\n'))
    {
        const auto batch =
            read_watch_batch(std::string_view(line_).substr(0, end));
        if (!batch.ok())
        {
            return false;
        }
        deliver(batch);
        line_.erase(0, end + 1);
    }
    return !stopping_ && line_.size() <= line_bytes_max;
}

auto store_watch_stream::deliver(const absl::StatusOr<store_watch_batch>& batch)
    -> void
{
    const std::lock_guard lock(deliver_mutex_);
    if (!stopping_)
    {
        next_(batch);
    }
}

} // namespace briardrum
