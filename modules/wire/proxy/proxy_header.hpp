#ifndef BRIARDRUM_WIRE_PROXY_PROXY_HEADER_HPP
#define BRIARDRUM_WIRE_PROXY_PROXY_HEADER_HPP

#include "core/core.hpp"

#include <absl/status/statusor.h>

namespace briardrum
{

// A datagram as the fabric hands it over, and as it is handed back: who the
// caller is and which service address it used. The datagram is a view.
struct proxied_datagram
{
    endpoint caller;
    endpoint service_address;
    byte_view datagram;
};

// Bytes of a header without extensions.
constexpr std::size_t proxy_header_bytes = 28;

// Replaces what out holds by a PROXY protocol v2 header (PROXY, IPv4, DGRAM)
// and the datagram.
auto write_proxy_header(const proxied_datagram& packet, byte_buffer& out)
    -> void;

// Reads a header and what follows it. error_kind::wrong_version for another
// version of the protocol; error_kind::malformed for a LOCAL command, another
// address family, a header cut short or with no datagram behind it.
// Extensions are skipped.
auto read_proxy_header(byte_view bytes) -> absl::StatusOr<proxied_datagram>;

} // namespace briardrum

#endif
