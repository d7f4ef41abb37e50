#include "io/udp/send_batch.hpp"

#include "io/udp/receive_batch.hpp"
#include "io/udp/socket_address.hpp"

#include <cerrno>

namespace briardrum
{

send_batch::send_batch()
{
    for (std::size_t n = 0; n < size; ++n)
    {
        buffers_[n].reserve(datagram_bytes_max);
        headers_[n].msg_hdr.msg_iov = &vectors_[n];
        headers_[n].msg_hdr.msg_iovlen = 1;
        headers_[n].msg_hdr.msg_name = &addresses_[n];
        headers_[n].msg_hdr.msg_namelen = sizeof(sockaddr_in);
    }
}

auto send_batch::is_full() const -> bool
{
    return count_ == size;
}

auto send_batch::count() const -> std::size_t
{
    return count_;
}

auto send_batch::add(const endpoint& to) -> byte_buffer&
{
    // The caller added to a full batch instead of sending it first.
    BRIARDRUM_INVARIANT(!is_full());
    addresses_[count_] = to_sockaddr(to);
    auto& out = buffers_[count_];
    out.clear();
    ++count_;
    return out;
}

auto send_batch::send(int descriptor) -> std::size_t
{
    for (std::size_t n = 0; n < count_; ++n)
    {
        vectors_[n] = {buffers_[n].data(), buffers_[n].size()};
    }
    std::size_t taken = 0;
    for (std::size_t next = 0; next < count_;)
    {
        const auto rest = static_cast<unsigned>(count_ - next);
        const auto sent =
            ::sendmmsg(descriptor, &headers_[next], rest, MSG_DONTWAIT);
        if (sent > 0)
        {
            next += static_cast<std::size_t>(sent);
            taken += static_cast<std::size_t>(sent);
        }
        else if (errno == EAGAIN || errno == ENOBUFS)
        {
            break;
        }
        else if (errno != EINTR)
        {
            // This one datagram is refused, or an earlier one met a closed
            // port; the next ones have other addresses.
            ++next;
        }
    }
    count_ = 0;
    return taken;
}

} // namespace briardrum
