#include "platform/packet_header.hpp"

#include <cstdlib>

// Any bytes: a packet that is read is written again without a byte changed
// that its sender vouches for.
extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                       std::size_t size) -> int
{
    using namespace briardrum;
    const byte_view bytes(data, size);
    const auto packet = platform::read_packet(bytes);
    if (!packet.ok())
    {
        return 0;
    }
    byte_buffer out;
    platform::write_packet(*packet, packet->label, out);
    const auto again = platform::read_packet(out);
    if (!again.ok() || again->source != packet->source ||
        again->destination != packet->destination ||
        again->sequence != packet->sequence ||
        again->payload_bytes != packet->payload_bytes ||
        again->label.kind != packet->label.kind)
    {
        std::abort();
    }
    return 0;
}
