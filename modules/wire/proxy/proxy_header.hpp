#ifndef BRIARDRUM_WIRE_PROXY_PROXY_HEADER_HPP
#define BRIARDRUM_WIRE_PROXY_PROXY_HEADER_HPP

#include "core/core.hpp"

#include <absl/status/statusor.h>

namespace briardrum
{

// A datagram exchanged with the network fabric, with the address of the caller
// and the service address that it used. The datagram is a view.
struct proxied_datagram
{
    endpoint caller;
    endpoint service_address;
    byte_view datagram;
};

// Size of a header without TLVs, in bytes.
constexpr std::size_t proxy_header_bytes = 28;

// Replaces the content of out with a PROXY protocol v2 header (PROXY, IPv4,
// DGRAM) and the datagram.
auto write_proxy_header(const proxied_datagram& packet, byte_buffer& out)
    -> void;

// Parses a header and the datagram that follows it. TLVs are skipped. Returns
// error_kind::wrong_version for another protocol version; error_kind::malformed
// for a LOCAL command, another address family, a truncated header or a missing
// datagram.
auto read_proxy_header(byte_view bytes) -> absl::StatusOr<proxied_datagram>;

} // namespace briardrum

#endif
