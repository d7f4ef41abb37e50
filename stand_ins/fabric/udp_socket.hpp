#ifndef BRIARDRUM_STAND_INS_FABRIC_UDP_SOCKET_HPP
#define BRIARDRUM_STAND_INS_FABRIC_UDP_SOCKET_HPP

#include "core/core.hpp"

#include <array>
#include <asio.hpp>
#include <functional>

namespace briardrum
{

// A UDP socket on one address that hands over whatever it receives.
class udp_socket
{
public:
    // Takes the sender and the bytes, which are valid during the call only.
    using receive_hook = std::function<void(const endpoint&, byte_view)>;

    // Throws std::system_error when the address cannot be bound.
    udp_socket(asio::io_context& io, const endpoint& address,
               receive_hook on_receive);

    // Sends or loses the datagram.
    auto send(const endpoint& to, byte_view bytes) -> void;

    // Begins to receive, until the io_context stops.
    auto start() -> void;

private:
    auto drain() -> void;

    static constexpr std::size_t datagram_bytes_max = 65536;

    asio::ip::udp::socket socket_;
    receive_hook on_receive_;
    asio::ip::udp::endpoint from_;
    std::array<std::uint8_t, datagram_bytes_max> buf_{};
};

} // namespace briardrum

#endif
