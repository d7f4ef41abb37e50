#ifndef BRIARDRUM_IO_CONTROL_CONTROL_CONNECTION_HPP
#define BRIARDRUM_IO_CONTROL_CONTROL_CONNECTION_HPP

#include "core/core.hpp"
#include "io/control/control_counters.hpp"
#include "wire/wire.hpp"

#include <absl/status/status.h>
#include <array>
#include <asio.hpp>
#include <deque>
#include <functional>
#include <memory>

namespace briardrum
{

// Time between two heartbeats on a control connection.
constexpr millis heartbeat_interval = seconds(1);

// A connection on which nothing arrived for this long is closed.
constexpr millis silence_max = heartbeat_interval * 3;

// Room for messages that wait to be sent on one connection.
constexpr std::size_t control_queue_bytes_max = std::size_t{4} * 1024 * 1024;

class control_connection;

struct control_connection_hooks
{
    std::function<void(const control_message&)> on_message;
    // Called once. OK when the other end closed it; else why it was closed.
    std::function<void(const control_connection&, const absl::Status&)>
        on_closed;
};

// One TCP connection for control messages, accepted or opened by us.
//
// Create it with std::make_shared, call start_accepted() or open() once, then
// send() and, every 100 ms or so, tick(). Both ends send heartbeats; an end
// that hears nothing for silence_max closes the connection. The queue of
// outgoing messages is bounded: the oldest are dropped first, as all messages
// are idempotent and are sent again by those who need an answer.
class control_connection
    : public std::enable_shared_from_this<control_connection>
{
public:
    control_connection(asio::ip::tcp::socket socket,
                       control_connection_hooks hooks,
                       control_counters& counters);

    auto start_accepted(millis now) -> void;
    auto open(millis now, const endpoint& peer) -> void;

    // Queues the encoded content of a frame.
    auto send(byte_view content) -> void;

    // Sends the heartbeat when it is due, and closes a silent connection.
    auto tick(millis now, byte_view heartbeat) -> void;

    // Ends the connection without calling on_closed.
    auto close() -> void;

    // Takes over the frames that a silent connection had not sent.
    auto take_unsent_of(control_connection& old) -> void;

    // True when it was closed because nothing arrived for silence_max.
    auto was_silent() const -> bool;

private:
    auto read() -> void;
    auto on_bytes(std::size_t count) -> void;
    auto write() -> void;
    auto end(const absl::Status& why) -> void;

    static constexpr std::size_t read_bytes = std::size_t{16} * 1024;

    asio::ip::tcp::socket socket_;
    control_connection_hooks hooks_;
    control_counters* counters_;
    frame_reader frames_;
    std::array<std::uint8_t, read_bytes> incoming_{};
    std::deque<byte_buffer> queue_;
    std::size_t queue_bytes_ = 0;
    byte_buffer writing_;
    millis heard_at_;
    millis heartbeat_at_;
    bool heard_since_tick_ = false;
    bool connected_ = false;
    bool closed_ = false;
    bool silent_ = false;
};

// Writes the one log line for a connection that ended with an error.
auto report_control_end(const event_sink& events, const std::string& peer,
                        const absl::Status& why) -> void;

} // namespace briardrum

#endif
