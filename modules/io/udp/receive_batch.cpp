#include "io/udp/receive_batch.hpp"

#include "io/udp/socket_address.hpp"

#include <cerrno>

namespace briardrum
{

receive_batch::receive_batch() : bytes_(size * datagram_bytes_max)
{
    for (std::size_t n = 0; n < size; ++n)
    {
        vectors_[n] = {bytes_.data() + n * datagram_bytes_max,
                       datagram_bytes_max};
        headers_[n].msg_hdr.msg_iov = &vectors_[n];
        headers_[n].msg_hdr.msg_iovlen = 1;
        headers_[n].msg_hdr.msg_name = &addresses_[n];
    }
}

auto receive_batch::receive(int descriptor) -> std::size_t
{
    for (auto& it : headers_)
    {
        it.msg_hdr.msg_namelen = sizeof(sockaddr_in);
        it.msg_hdr.msg_flags = 0;
    }
    auto count = -1;
    do
    {
        count = ::recvmmsg(descriptor, headers_.data(), size, MSG_DONTWAIT,
                           nullptr);
    } while (count < 0 && errno == EINTR);
    return count < 0 ? 0 : static_cast<std::size_t>(count);
}

auto receive_batch::from(std::size_t n) const -> endpoint
{
    return from_sockaddr(addresses_.at(n));
}

auto receive_batch::datagram(std::size_t n) const -> byte_view
{
    return {bytes_.data() + n * datagram_bytes_max, headers_.at(n).msg_len};
}

auto receive_batch::is_cut(std::size_t n) const -> bool
{
    return (headers_.at(n).msg_hdr.msg_flags & MSG_TRUNC) != 0;
}

} // namespace briardrum
