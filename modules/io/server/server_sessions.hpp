#ifndef BRIARDRUM_IO_SERVER_SERVER_SESSIONS_HPP
#define BRIARDRUM_IO_SERVER_SERVER_SESSIONS_HPP

#include "core/core.hpp"

#include <array>
#include <asio.hpp>
#include <functional>
#include <memory>

namespace briardrum
{

struct server_sessions_hooks
{
    // A datagram of the backend server on a flow's socket.
    std::function<void(const flow_key&, byte_view)> on_datagram;
    // The host says that nobody listens at the backend server's address.
    std::function<void()> on_refused;
    event_sink events;
};

// One connected UDP socket towards the backend server for each flow, so that
// the server sees each flow as a caller of its own.
//
// send() opens the socket when there is none. close() ends it; so does
// tick(), when nothing went either way for idle_timeout.
class server_sessions
{
public:
    // Longer than a stream stays silent and an answer stays valid.
    static constexpr millis idle_timeout = minutes(30);

    server_sessions(asio::io_context& context, const endpoint& server,
                    server_sessions_hooks hooks);
    ~server_sessions();
    server_sessions(const server_sessions&) = delete;
    auto operator=(const server_sessions&) -> server_sessions& = delete;

    auto send(millis now, const flow_key& flow, byte_view datagram) -> void;
    auto close(const flow_key& flow) -> void;
    auto tick(millis now) -> void;

    auto size() const -> std::size_t;

    // Datagrams that could not be sent because no socket could be had or the
    // kernel did not take them.
    auto dropped() const -> std::uint64_t;

private:
    struct session
    {
        explicit session(asio::io_context& context) : socket(context) {}

        asio::ip::udp::socket socket;
        flow_key flow;
        millis used_at;
    };

    using session_ptr = std::shared_ptr<session>;

    auto find_or_open(millis now, const flow_key& flow) -> session_ptr;
    auto wait(const session_ptr& which) -> void;
    auto read(const session_ptr& which) -> void;

    static constexpr std::size_t datagrams_per_read = 16;
    static constexpr std::size_t buffer_bytes = 2048;

    asio::io_context* context_;
    endpoint server_;
    server_sessions_hooks hooks_;
    table<flow_key, session_ptr> sessions_;
    std::array<std::uint8_t, buffer_bytes> incoming_{};
    std::uint64_t dropped_ = 0;
};

} // namespace briardrum

#endif
