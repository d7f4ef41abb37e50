#include "stand_ins/fabric/udp_socket.hpp"

namespace briardrum
{

namespace
{

constexpr int socket_buffer_bytes = 4 * 1024 * 1024;

auto to_asio(const endpoint& value) -> asio::ip::udp::endpoint
{
    return {asio::ip::address_v4(value.address), value.port};
}

auto from_asio(const asio::ip::udp::endpoint& value) -> endpoint
{
    return {value.address().to_v4().to_uint(), value.port()};
}

} // namespace

udp_socket::udp_socket(asio::io_context& io, const endpoint& address,
                       receive_hook on_receive)
    : socket_(io, to_asio(address)), on_receive_(std::move(on_receive))
{
    asio::error_code ignored;
    socket_.set_option(
        asio::socket_base::receive_buffer_size(socket_buffer_bytes), ignored);
    socket_.set_option(asio::socket_base::send_buffer_size(socket_buffer_bytes),
                       ignored);
    socket_.non_blocking(true);
}

auto udp_socket::send(const endpoint& to, byte_view bytes) -> void
{
    asio::error_code ignored;
    socket_.send_to(asio::buffer(bytes.data(), bytes.size()), to_asio(to), 0,
                    ignored);
}

auto udp_socket::start() -> void
{
    socket_.async_wait(asio::ip::udp::socket::wait_read,
                       [this](const asio::error_code& ec)
                       {
                           if (!ec)
                           {
                               drain();
                               start();
                           }
                       });
}

auto udp_socket::drain() -> void
{
    // Bounded, so that one busy socket does not starve the others.
    constexpr int datagrams_max = 64;
    for (int n = 0; n < datagrams_max; ++n)
    {
        asio::error_code ec;
        const auto size =
            socket_.receive_from(asio::buffer(buf_), from_, 0, ec);
        if (ec)
        {
            return;
        }
        on_receive_(from_asio(from_), byte_view(buf_).first(size));
    }
}

} // namespace briardrum
