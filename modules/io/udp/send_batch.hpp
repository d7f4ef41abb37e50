#ifndef BRIARDRUM_IO_UDP_SEND_BATCH_HPP
#define BRIARDRUM_IO_UDP_SEND_BATCH_HPP

#include "core/core.hpp"

#include <array>
#include <netinet/in.h>
#include <sys/socket.h>

namespace briardrum
{

// Datagrams that wait for one sendmmsg() call. The buffers are kept from one
// call to the next, so that a busy sender does not allocate.
class send_batch
{
public:
    static constexpr std::size_t size = 64;

    send_batch();
    send_batch(const send_batch&) = delete;
    auto operator=(const send_batch&) -> send_batch& = delete;

    auto is_full() const -> bool;
    auto count() const -> std::size_t;

    // An empty buffer for a datagram to this address. The batch must not be
    // full.
    auto add(const endpoint& to) -> byte_buffer&;

    // Hands everything to the kernel and empties the batch; gives how many it
    // took. A datagram that it refuses is left out.
    auto send(int descriptor) -> std::size_t;

private:
    std::array<byte_buffer, size> buffers_;
    std::array<sockaddr_in, size> addresses_{};
    std::array<iovec, size> vectors_{};
    std::array<mmsghdr, size> headers_{};
    std::size_t count_ = 0;
};

} // namespace briardrum

#endif
