#ifndef BRIARDRUM_IO_HTTP_HTTP_SERVER_HPP
#define BRIARDRUM_IO_HTTP_HTTP_SERVER_HPP

#include "core/core.hpp"
#include "io/http/http_message.hpp"

#include <absl/status/status.h>
#include <asio.hpp>
#include <functional>
#include <memory>
#include <set>

namespace briardrum
{

// Answers HTTP/1.1 requests on the thread that runs the context.
//
// start() binds; each whole request is handed to the hook, whose answer is
// sent back on the connection, which stays open as HTTP/1.1 says. At most
// connections_max are open: over that the one that is idle longest is closed.
class http_server
{
public:
    using handler = std::function<http_response(const http_request&)>;

    static constexpr std::size_t connections_max = 64;
    static constexpr std::size_t body_bytes_max = 65536;

    http_server(asio::io_context& context, handler handle);
    ~http_server();
    http_server(const http_server&) = delete;
    auto operator=(const http_server&) -> http_server& = delete;

    // Binds and starts answering; error_kind::unavailable when the address
    // cannot be had.
    auto start(const endpoint& local) -> absl::Status;

    // Takes no new connection and closes the open ones.
    auto close() -> void;

private:
    class connection;

    auto accept() -> void;
    auto forget(const std::shared_ptr<connection>& item) -> void;

    asio::ip::tcp::acceptor acceptor_;
    handler handle_;
    // In order of their last request.
    std::vector<std::shared_ptr<connection>> connections_;
};

// "HTTP/1.1 200 OK" and what follows, for one response.
auto write_http_response(const http_response& response, bool keep_alive)
    -> std::string;

} // namespace briardrum

#endif
