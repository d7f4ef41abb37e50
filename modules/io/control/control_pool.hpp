#ifndef BRIARDRUM_IO_CONTROL_CONTROL_POOL_HPP
#define BRIARDRUM_IO_CONTROL_CONTROL_POOL_HPP

#include "io/control/control_connection.hpp"

namespace briardrum
{

// The connections that a process opened to others, one per control address.
//
// send() opens a connection when there is none. One that is silent is
// replaced and what it had not yet sent goes out on the new one; one that
// carried no message of ours for idle_timeout is closed, so that heartbeats
// are paid only where there is something to say. An address that refuses is
// left alone for retry_interval; messages to it are dropped meanwhile.
class control_pool
{
public:
    static constexpr millis idle_timeout = seconds(15);
    static constexpr millis retry_interval = milliseconds(500);

    control_pool(asio::io_context& context,
                 std::function<void(const control_message&)> on_message,
                 control_counters& counters, event_sink events);
    ~control_pool();
    control_pool(const control_pool&) = delete;
    auto operator=(const control_pool&) -> control_pool& = delete;

    auto send(millis now, const endpoint& to, const control_message& message)
        -> void;

    // heartbeat is the encoded message that keeps connections alive.
    auto tick(millis now, byte_view heartbeat) -> void;

    // Addresses with a connection or a refusal to wait out.
    auto size() const -> std::size_t;

    auto close_all() -> void;

private:
    struct peer
    {
        std::shared_ptr<control_connection> connection;
        millis used_at;
        millis retry_at;
    };

    auto connect(millis now, const endpoint& to, peer& row) -> void;
    auto on_closed(const endpoint& to, const control_connection& which,
                   const absl::Status& why) -> void;
    auto tick_peer(millis now, const endpoint& to, byte_view heartbeat) -> void;

    asio::io_context* context_;
    std::function<void(const control_message&)> on_message_;
    control_counters* counters_;
    event_sink events_;
    table<endpoint, peer> peers_;
};

} // namespace briardrum

#endif
