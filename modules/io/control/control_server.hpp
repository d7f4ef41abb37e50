#ifndef BRIARDRUM_IO_CONTROL_CONTROL_SERVER_HPP
#define BRIARDRUM_IO_CONTROL_CONTROL_SERVER_HPP

#include "io/control/control_connection.hpp"

#include <vector>

namespace briardrum
{

// Accepts control connections of other processes. It holds at most
// connections_max; further ones are closed at once.
class control_server
{
public:
    static constexpr std::size_t connections_max = 4096;

    control_server(asio::io_context& context,
                   std::function<void(const control_message&)> on_message,
                   control_counters& counters, event_sink events);
    ~control_server();
    control_server(const control_server&) = delete;
    auto operator=(const control_server&) -> control_server& = delete;

    // Binds and accepts; error_kind::unavailable when the address cannot be
    // had.
    auto start(const endpoint& local) -> absl::Status;

    auto tick(millis now, byte_view heartbeat) -> void;

    auto size() const -> std::size_t;

    auto close_all() -> void;

private:
    auto accept() -> void;
    auto take(asio::ip::tcp::socket socket) -> void;
    auto forget(const control_connection& which) -> void;

    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer retry_;
    std::function<void(const control_message&)> on_message_;
    control_counters* counters_;
    event_sink events_;
    std::vector<std::shared_ptr<control_connection>> connections_;
};

} // namespace briardrum

#endif
