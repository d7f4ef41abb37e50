#ifndef BRIARDRUM_IO_UDP_RECEIVE_BATCH_HPP
#define BRIARDRUM_IO_UDP_RECEIVE_BATCH_HPP

#include "core/core.hpp"

#include <array>
#include <netinet/in.h>
#include <sys/socket.h>

namespace briardrum
{

// Longest datagram that is taken: a CoAP datagram in an envelope.
constexpr std::size_t datagram_bytes_max = 2048;

// Buffers for one recvmmsg() call.
class receive_batch
{
public:
    static constexpr std::size_t size = 64;

    receive_batch();
    receive_batch(const receive_batch&) = delete;
    auto operator=(const receive_batch&) -> receive_batch& = delete;

    // Takes what the non-blocking socket holds, at most size datagrams; gives
    // how many.
    auto receive(int descriptor) -> std::size_t;

    auto from(std::size_t n) const -> endpoint;
    auto datagram(std::size_t n) const -> byte_view;

    // True when the datagram was longer than datagram_bytes_max.
    auto is_cut(std::size_t n) const -> bool;

private:
    std::vector<std::uint8_t> bytes_;
    std::array<sockaddr_in, size> addresses_{};
    std::array<iovec, size> vectors_{};
    std::array<mmsghdr, size> headers_{};
};

} // namespace briardrum

#endif
