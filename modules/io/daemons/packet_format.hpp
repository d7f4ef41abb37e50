#ifndef BRIARDRUM_IO_DAEMONS_PACKET_FORMAT_HPP
#define BRIARDRUM_IO_DAEMONS_PACKET_FORMAT_HPP

#include "packets/packets.hpp"

#include <absl/status/statusor.h>
#include <functional>
#include <string>

namespace briardrum
{

// How packets stand on the wire, and which paths are asked; the writers fill
// an empty buffer with one datagram.
struct packet_format
{
    // error_kind::malformed when the bytes are no packet. The view in the
    // result is the one given.
    std::function<absl::StatusOr<flow_packet>(byte_view)> read;
    std::function<void(const flow_packet&, const packet_label&, byte_buffer&)>
        write;
    std::function<void(const endpoint& caller, const endpoint& route,
                       const packet_label&, byte_buffer&)>
        write_notice;
    std::function<void(const endpoint& route, const endpoint& caller,
                       std::uint32_t acknowledged, byte_buffer&)>
        write_reset;
    // The path on which the fabric asks whether the process is ready.
    std::string readiness_path;
};

} // namespace briardrum

#endif
