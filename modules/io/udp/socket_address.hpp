#ifndef BRIARDRUM_IO_UDP_SOCKET_ADDRESS_HPP
#define BRIARDRUM_IO_UDP_SOCKET_ADDRESS_HPP

#include "core/core.hpp"

#include <netinet/in.h>

namespace briardrum
{

// An endpoint as the socket calls take it.
inline auto to_sockaddr(const endpoint& value) -> sockaddr_in
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(value.port);
    out.sin_addr.s_addr = htonl(value.address);
    return out;
}

inline auto from_sockaddr(const sockaddr_in& value) -> endpoint
{
    return {ntohl(value.sin_addr.s_addr), ntohs(value.sin_port)};
}

} // namespace briardrum

#endif
