#include "io/store/store_calls.hpp"

#include "io/store/store_http.hpp"

#include <utility>

namespace briardrum
{

namespace
{

constexpr std::size_t waiting_calls_max = 64;

// Goes round the addresses of the store, one connection at a time.
class store_connection
{
public:
    explicit store_connection(const store_client_settings& settings)
        : settings_(settings)
    {
    }

    auto call(const store_call& item) -> absl::StatusOr<std::string>
    {
        absl::StatusOr<std::string> out =
            make_error(error_kind::unavailable, "the store has no address");
        for (std::size_t n = 0; n < settings_.addresses.size(); ++n)
        {
            out = call_once(item);
            if (error_kind_of(out.status()) != error_kind::unavailable)
            {
                return out;
            }
            client_ = nullptr;
            place_ = (place_ + 1) % settings_.addresses.size();
        }
        return out;
    }

private:
    auto call_once(const store_call& item) -> absl::StatusOr<std::string>
    {
        if (client_ == nullptr)
        {
            client_ = make_http_client(settings_.addresses.at(place_),
                                       settings_.connect_timeout,
                                       settings_.call_timeout);
        }
        return read_answer(client_->Post(item.path, item.body, json_type),
                           item.is_write);
    }

    const store_client_settings& settings_;
    std::unique_ptr<httplib::Client> client_;
    std::size_t place_ = 0;
};

} // namespace

store_calls::store_calls(store_client_settings settings)
    : settings_(std::move(settings)), thread_(
                                          [this]
                                          {
                                              run();
                                          })
{
}

store_calls::~store_calls()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    wake_.notify_all();
    thread_.join();
}

auto store_calls::add(store_call call) -> bool
{
    {
        const std::lock_guard lock(mutex_);
        if (waiting_.size() >= waiting_calls_max)
        {
            return false;
        }
        waiting_.push_back(std::move(call));
    }
    wake_.notify_one();
    return true;
}

auto store_calls::run() -> void
{
    store_connection connection(settings_);
    store_call next;
    while (take(next))
    {
        next.done(connection.call(next));
    }
}

auto store_calls::take(store_call& out) -> bool
{
    std::unique_lock lock(mutex_);
    wake_.wait(lock,
               [this]
               {
                   return stopping_ || !waiting_.empty();
               });
    if (stopping_)
    {
        return false;
    }
    out = std::move(waiting_.front());
    waiting_.pop_front();
    return true;
}

} // namespace briardrum
