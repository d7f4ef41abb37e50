#ifndef BRIARDRUM_IO_SERVER_SERVER_PRESENCE_HPP
#define BRIARDRUM_IO_SERVER_SERVER_PRESENCE_HPP

#include "core/core.hpp"

#include <asio.hpp>
#include <functional>

namespace briardrum
{

// Finds out whether a server process listens at a TCP address on this VM.
//
// A refused connection shows that no process does. No request is sent, and an
// accepted connection is closed at once. Anything else, such as a connection
// that is not answered in time, shows nothing.
class server_presence
{
public:
    // started is the time at which the check began.
    using absent_hook = std::function<void(millis now, millis started)>;

    // Within a VM, a connection is accepted or refused at once.
    static constexpr millis timeout = milliseconds(200);

    server_presence(asio::io_context& context, const endpoint& server,
                    absent_hook absent);
    server_presence(const server_presence&) = delete;
    auto operator=(const server_presence&) -> server_presence& = delete;

    // Starts a check unless one is in progress.
    auto check(millis now) -> void;

private:
    auto finish(const asio::error_code& ec, millis started) -> void;

    endpoint server_;
    absent_hook absent_;
    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    bool checking_ = false;
};

} // namespace briardrum

#endif
