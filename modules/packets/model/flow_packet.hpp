#ifndef BRIARDRUM_PACKETS_MODEL_FLOW_PACKET_HPP
#define BRIARDRUM_PACKETS_MODEL_FLOW_PACKET_HPP

#include "packets/model/packet_label.hpp"

namespace briardrum
{

// A packet of a flow, reduced to the header fields that routing needs. The
// datagram refers to the whole packet, which may be forwarded but must not be
// modified; copy it to keep it beyond the call.
struct flow_packet
{
    endpoint source;
    endpoint destination;
    // Sequence number of the payload, and the acknowledgement number:
    // everything before it has been received by the sender.
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0;
    // Set for the packet that opens a flow, with the number of times that the
    // caller has already retransmitted it.
    bool opens = false;
    std::uint8_t retransmissions = 0;
    bool acknowledges = false;
    bool closes = false;
    bool resets = false;
    // The backend server returned the packet: it does not hold the flow, or
    // cannot accept a new one.
    bool returned = false;
    std::uint16_t payload_bytes = 0;
    packet_label label;
    byte_view datagram;
};

// Returns the flow of a packet sent by a caller. The key holds a hash of the
// route address in place of a service id.
auto flow_from_caller(const flow_packet& packet) -> flow_key;

// Returns the flow of a packet sent by a backend server.
auto flow_from_server(const flow_packet& packet) -> flow_key;

} // namespace briardrum

#endif
