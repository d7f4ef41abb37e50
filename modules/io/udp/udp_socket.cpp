#include "io/udp/udp_socket.hpp"

#include <utility>

namespace briardrum
{

namespace
{

using asio::ip::udp;

// Room in the kernel for the bursts between two passes.
constexpr int kernel_buffer_bytes = 4 * 1024 * 1024;

auto bind_socket(udp::socket& socket, const endpoint& local) -> asio::error_code
{
    const udp::endpoint place(asio::ip::address_v4(local.address), local.port);
    asio::error_code ec;
    socket.open(udp::v4(), ec);
    if (ec)
    {
        return ec;
    }
    // The kernel gives less where its limit is lower; that is no error.
    asio::error_code ignored;
    socket.set_option(
        asio::socket_base::receive_buffer_size(kernel_buffer_bytes), ignored);
    socket.set_option(asio::socket_base::send_buffer_size(kernel_buffer_bytes),
                      ignored);
    socket.bind(place, ec);
    if (!ec)
    {
        socket.native_non_blocking(true, ec);
    }
    return ec;
}

} // namespace

udp_socket::udp_socket(asio::io_context& context) : socket_(context) {}

auto udp_socket::open(const endpoint& local) -> absl::Status
{
    const auto ec = bind_socket(socket_, local);
    if (ec)
    {
        return make_error(error_kind::unavailable, "UDP address " +
                                                       to_string(local) + ": " +
                                                       ec.message());
    }
    return absl::OkStatus();
}

auto udp_socket::start(udp_hooks hooks) -> void
{
    hooks_ = std::move(hooks);
    wait();
}

auto udp_socket::wait() -> void
{
    socket_.async_wait(udp::socket::wait_read,
                       [this](const asio::error_code& ec)
                       {
                           if (ec)
                           {
                               return;
                           }
                           read_pass();
                           wait();
                       });
}

auto udp_socket::read_pass() -> void
{
    std::size_t taken = 0;
    auto count = receive_batch::size;
    while (count == receive_batch::size && taken < datagrams_per_pass)
    {
        count = received_.receive(socket_.native_handle());
        for (std::size_t n = 0; n < count; ++n)
        {
            if (received_.is_cut(n))
            {
                ++counters_.oversize;
                continue;
            }
            hooks_.on_datagram(received_.from(n), received_.datagram(n));
        }
        taken += count;
    }
    counters_.received += taken;
    if (hooks_.on_pass)
    {
        hooks_.on_pass();
    }
}

auto udp_socket::queue(const endpoint& to) -> byte_buffer&
{
    if (queued_.is_full())
    {
        flush();
    }
    flush_later();
    return queued_.add(to);
}

auto udp_socket::flush_later() -> void
{
    if (std::exchange(flush_posted_, true))
    {
        return;
    }
    asio::post(socket_.get_executor(),
               [this]
               {
                   flush_posted_ = false;
                   flush();
               });
}

auto udp_socket::flush() -> void
{
    const auto count = queued_.count();
    if (count == 0)
    {
        return;
    }
    const auto sent =
        socket_.is_open() ? queued_.send(socket_.native_handle()) : 0;
    counters_.sent += sent;
    counters_.send_failed += count - sent;
}

auto udp_socket::close() -> void
{
    asio::error_code ignored;
    socket_.close(ignored);
}

auto udp_socket::counters() const -> const udp_counters&
{
    return counters_;
}

} // namespace briardrum
