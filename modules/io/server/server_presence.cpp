#include "io/server/server_presence.hpp"

#include <chrono>
#include <utility>

namespace briardrum
{

server_presence::server_presence(asio::io_context& context,
                                 const endpoint& server, absent_hook absent)
    : server_(server), absent_(std::move(absent)), socket_(context),
      timer_(context)
{
}

auto server_presence::check(millis now) -> void
{
    if (std::exchange(checking_, true))
    {
        return;
    }
    timer_.expires_after(std::chrono::milliseconds(timeout.count));
    timer_.async_wait(
        [this](const asio::error_code& ec)
        {
            if (!ec)
            {
                asio::error_code ignored;
                socket_.close(ignored);
            }
        });
    const asio::ip::tcp::endpoint to(asio::ip::address_v4(server_.address),
                                     server_.port);
    socket_.async_connect(to,
                          [this, now](const asio::error_code& ec)
                          {
                              finish(ec, now);
                          });
}

auto server_presence::finish(const asio::error_code& ec, millis started) -> void
{
    checking_ = false;
    timer_.cancel();
    asio::error_code ignored;
    socket_.close(ignored);
    if (ec == asio::error::connection_refused)
    {
        absent_(clock::now(), started);
    }
}

} // namespace briardrum
