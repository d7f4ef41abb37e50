#include "io/http/http_client.hpp"

#include "io/http/http_reader.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <optional>
#include <utility>

namespace briardrum
{

namespace
{

using asio::ip::tcp;

constexpr std::size_t read_bytes = 16384;

auto write_request(const http_request& request, const endpoint& server)
    -> std::string
{
    auto out = request.method + ' ' + request.target + " HTTP/1.1\r\n";
    out += "Host: " + to_string(server) + "\r\n";
    if (!request.body.empty())
    {
        out += "Content-Type: application/json\r\n";
    }
    out +=
        "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n";
    out += request.body;
    return out;
}

} // namespace

// One connection with at most one call under way.
class http_client::connection : public std::enable_shared_from_this<connection>
{
public:
    explicit connection(http_client& owner)
        : owner_(owner), socket_(owner.context_), timer_(owner.context_),
          reader_(http_reader::side::responses, body_bytes_max,
                  [this](http_reader::message&& message)
                  {
                      response_ = {message.status, "application/json",
                                   std::move(message.body),
                                   std::move(message.headers)};
                      keep_alive_ = message.keep_alive;
                      complete_ = true;
                  })
    {
    }

    auto call(std::string bytes, const std::string& target, millis timeout,
              callback done) -> void
    {
        out_ = std::move(bytes);
        done_ = std::move(done);
        target_ = target;
        called_at_ = clock::now();
        deadline_ = called_at_ + timeout;
        response_since_.reset();
        kept_ = socket_.is_open();
        sent_ = false;
        complete_ = false;
        wait_for_deadline(called_at_);
        if (socket_.is_open())
        {
            write();
            return;
        }
        connect();
    }

    // Ends without a word to the caller.
    auto close() -> void
    {
        done_ = nullptr;
        asio::error_code ignored;
        socket_.close(ignored);
        timer_.cancel();
    }

private:
    auto wait_for_deadline(millis now) -> void
    {
        const auto left = deadline_ - now;
        timer_.expires_after(std::chrono::milliseconds(left.count));
        timer_.async_wait(
            [it = shared_from_this()](const asio::error_code& ec)
            {
                if (!ec)
                {
                    it->owner_.close_idle_connections();
                    it->fail("no answer in time");
                }
            });
    }

    // Bytes of the response have arrived, and more are to come.
    auto extend_deadline() -> void
    {
        const auto now = clock::now();
        response_since_ = response_since_.value_or(now);
        const auto& limits = owner_.limits_;
        const auto until = std::min(now + limits.stall_timeout,
                                    *response_since_ + limits.duration_max);
        if (until > deadline_)
        {
            deadline_ = until;
            wait_for_deadline(now);
        }
    }

    auto connect() -> void
    {
        const tcp::endpoint place(asio::ip::address_v4(owner_.server_.address),
                                  owner_.server_.port);
        socket_.async_connect(
            place,
            [it = shared_from_this()](const asio::error_code& ec)
            {
                if (ec)
                {
                    it->fail(ec.message());
                    return;
                }
                asio::error_code ignored;
                it->socket_.set_option(tcp::no_delay(true), ignored);
                it->write();
            });
    }

    auto write() -> void
    {
        sent_ = true;
        asio::async_write(
            socket_, asio::buffer(out_),
            [it = shared_from_this()](const asio::error_code& ec, std::size_t)
            {
                if (ec)
                {
                    it->fail(ec.message());
                    return;
                }
                it->read();
            });
    }

    auto read() -> void
    {
        socket_.async_read_some(
            asio::buffer(bytes_),
            [it = shared_from_this()](const asio::error_code& ec, std::size_t n)
            {
                it->on_read(ec, n);
            });
    }

    auto on_read(const asio::error_code& ec, std::size_t n) -> void
    {
        if (ec || !reader_.feed({bytes_.data(), n}))
        {
            fail(ec ? ec.message() : "no HTTP response");
            return;
        }
        if (!complete_)
        {
            extend_deadline();
            read();
            return;
        }
        timer_.cancel();
        const auto done = std::exchange(done_, nullptr);
        const auto self = shared_from_this();
        if (keep_alive_)
        {
            owner_.keep(self);
        }
        else
        {
            close();
            owner_.forget(self);
        }
        if (done)
        {
            done(std::move(response_));
        }
    }

    auto fail(const std::string& why) -> void
    {
        const auto done = std::exchange(done_, nullptr);
        const auto kind =
            sent_ ? error_kind::unknown_outcome : error_kind::unavailable;
        const auto self = shared_from_this();
        close();
        owner_.forget(self);
        if (done)
        {
            report_failure(why);
            done(make_error(kind, to_string(owner_.server_) + ": " + why));
        }
    }

    auto report_failure(const std::string& why) const -> void
    {
        if (owner_.events_)
        {
            const auto waited = clock::now() - called_at_;
            owner_.events_(
                event("http_call_failed", event_level::warning)
                    .with("server", to_string(owner_.server_))
                    .with("target", target_)
                    .with("connection", kept_ ? "kept" : "new")
                    .with("waited_ms", static_cast<std::uint64_t>(waited.count))
                    .with("why", why));
        }
    }

    http_client& owner_;
    tcp::socket socket_;
    asio::steady_timer timer_;
    http_reader reader_;
    std::array<std::uint8_t, read_bytes> bytes_{};
    std::string out_;
    std::string target_;
    millis called_at_;
    millis deadline_;
    // When the first bytes of the response arrived; empty before.
    std::optional<millis> response_since_;
    // True if the connection was open before the call.
    bool kept_ = false;
    callback done_;
    http_response response_;
    bool sent_ = false;
    bool complete_ = false;
    bool keep_alive_ = false;
};

http_client::http_client(asio::io_context& context, const endpoint& server,
                         event_sink events, http_response_limits limits)
    : context_(context), server_(server), events_(std::move(events)),
      limits_(limits)
{
}

http_client::~http_client()
{
    close();
}

auto http_client::call(const http_request& request, millis timeout,
                       callback done) -> void
{
    const auto item = take_connection();
    item->call(write_request(request, server_), request.target, timeout,
               std::move(done));
}

auto http_client::take_connection() -> std::shared_ptr<connection>
{
    if (idle_.empty())
    {
        used_.push_back(std::make_shared<connection>(*this));
    }
    else
    {
        used_.push_back(std::move(idle_.back()));
        idle_.pop_back();
    }
    return used_.back();
}

auto http_client::keep(const std::shared_ptr<connection>& item) -> void
{
    std::erase(used_, item);
    if (idle_.size() < idle_connections_max)
    {
        idle_.push_back(item);
        return;
    }
    item->close();
}

auto http_client::forget(const std::shared_ptr<connection>& item) -> void
{
    std::erase(used_, item);
    std::erase(idle_, item);
}

auto http_client::close_idle_connections() -> void
{
    for (const auto& it : idle_)
    {
        it->close();
    }
    idle_.clear();
}

auto http_client::close() -> void
{
    for (const auto& it : used_)
    {
        it->close();
    }
    used_.clear();
    close_idle_connections();
}

} // namespace briardrum
