#ifndef BRIARDRUM_IO_UDP_UDP_SOCKET_HPP
#define BRIARDRUM_IO_UDP_UDP_SOCKET_HPP

#include "io/udp/receive_batch.hpp"
#include "io/udp/send_batch.hpp"

#include <absl/status/status.h>
#include <asio.hpp>
#include <functional>

namespace briardrum
{

// What a udp_socket did so far.
struct udp_counters
{
    std::uint64_t received = 0;
    std::uint64_t sent = 0;
    // Received datagrams longer than datagram_bytes_max.
    std::uint64_t oversize = 0;
    // Datagrams that the kernel did not take.
    std::uint64_t send_failed = 0;
};

struct udp_hooks
{
    std::function<void(const endpoint& from, byte_view)> on_datagram;
    // After each pass over the socket.
    std::function<void()> on_pass;
};

// A bound UDP socket that is read and written in batches.
//
// open(), then start(). Each time the socket is readable it is read until it
// is empty or datagrams_per_pass were taken, then on_pass is called. What is
// queued goes out when the batch is full, or when the handler that queued it
// has returned.
class udp_socket
{
public:
    static constexpr std::size_t datagrams_per_pass = 4096;

    explicit udp_socket(asio::io_context& context);

    // Binds; error_kind::unavailable when the address cannot be had.
    auto open(const endpoint& local) -> absl::Status;

    auto start(udp_hooks hooks) -> void;

    // An empty buffer to be filled with a datagram to this address; valid
    // until the next call.
    auto queue(const endpoint& to) -> byte_buffer&;

    auto close() -> void;

    auto counters() const -> const udp_counters&;

private:
    auto wait() -> void;
    auto read_pass() -> void;
    auto flush() -> void;
    auto flush_later() -> void;

    asio::ip::udp::socket socket_;
    receive_batch received_;
    send_batch queued_;
    udp_hooks hooks_;
    udp_counters counters_;
    bool flush_posted_ = false;
};

} // namespace briardrum

#endif
