#include "io/http/http_server.hpp"

#include "io/http/http_reader.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace briardrum
{

namespace
{

using asio::ip::tcp;

constexpr std::size_t read_bytes = 4096;

} // namespace

auto write_http_response(const http_response& response, bool keep_alive)
    -> std::string
{
    const auto status = static_cast<http_status>(response.status);
    auto out = "HTTP/1.1 " + std::to_string(response.status) + ' ' +
               http_status_str(status) + "\r\n";
    out += "Content-Type: " + response.content_type + "\r\n";
    out += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
    out += keep_alive ? "\r\n" : "Connection: close\r\n\r\n";
    out += response.body;
    return out;
}

// One connection: read, answer, read on.
class http_server::connection : public std::enable_shared_from_this<connection>
{
public:
    connection(http_server& owner, tcp::socket socket)
        : owner_(owner), socket_(std::move(socket)),
          reader_(http_reader::side::requests, body_bytes_max,
                  [this](http_reader::message&& message)
                  {
                      on_request(std::move(message));
                  })
    {
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

    auto close() -> void
    {
        asio::error_code ignored;
        socket_.close(ignored);
    }

private:
    auto on_read(const asio::error_code& ec, std::size_t n) -> void
    {
        if (ec || !reader_.feed({bytes_.data(), n}))
        {
            end();
            return;
        }
        if (out_.empty())
        {
            read();
            return;
        }
        write();
    }

    auto on_request(http_reader::message&& message) -> void
    {
        http_request request{std::move(message.method),
                             std::move(message.target),
                             std::move(message.body)};
        out_ +=
            write_http_response(owner_.handle_(request), message.keep_alive);
        keep_alive_ = message.keep_alive;
    }

    auto write() -> void
    {
        asio::async_write(
            socket_, asio::buffer(out_),
            [it = shared_from_this()](const asio::error_code& ec, std::size_t)
            {
                it->on_written(ec);
            });
    }

    auto on_written(const asio::error_code& ec) -> void
    {
        out_.clear();
        if (ec || !keep_alive_)
        {
            end();
            return;
        }
        read();
    }

    auto end() -> void
    {
        close();
        owner_.forget(shared_from_this());
    }

    http_server& owner_;
    tcp::socket socket_;
    http_reader reader_;
    std::array<std::uint8_t, read_bytes> bytes_{};
    std::string out_;
    bool keep_alive_ = true;
};

http_server::http_server(asio::io_context& context, handler handle)
    : acceptor_(context), handle_(std::move(handle))
{
}

http_server::~http_server()
{
    close();
}

auto http_server::start(const endpoint& local) -> absl::Status
{
    const tcp::endpoint place(asio::ip::address_v4(local.address), local.port);
    asio::error_code ec;
    acceptor_.open(tcp::v4(), ec);
    if (!ec)
    {
        acceptor_.set_option(tcp::acceptor::reuse_address(true), ec);
    }
    if (!ec)
    {
        acceptor_.bind(place, ec);
    }
    if (!ec)
    {
        acceptor_.listen(asio::socket_base::max_listen_connections, ec);
    }
    if (ec)
    {
        return make_error(error_kind::unavailable, "HTTP address " +
                                                       to_string(local) + ": " +
                                                       ec.message());
    }
    accept();
    return absl::OkStatus();
}

auto http_server::accept() -> void
{
    acceptor_.async_accept(
        [this](const asio::error_code& ec, tcp::socket socket)
        {
            if (ec == asio::error::operation_aborted || !acceptor_.is_open())
            {
                return;
            }
            if (!ec)
            {
                if (connections_.size() >= connections_max)
                {
                    connections_.front()->close();
                    connections_.erase(connections_.begin());
                }
                connections_.push_back(
                    std::make_shared<connection>(*this, std::move(socket)));
                connections_.back()->read();
            }
            accept();
        });
}

auto http_server::forget(const std::shared_ptr<connection>& item) -> void
{
    std::erase(connections_, item);
}

auto http_server::close() -> void
{
    asio::error_code ignored;
    acceptor_.close(ignored);
    for (const auto& it : connections_)
    {
        it->close();
    }
    connections_.clear();
}

} // namespace briardrum
