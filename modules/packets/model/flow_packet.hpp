#ifndef BRIARDRUM_PACKETS_MODEL_FLOW_PACKET_HPP
#define BRIARDRUM_PACKETS_MODEL_FLOW_PACKET_HPP

#include "packets/model/packet_label.hpp"

namespace briardrum
{

// One packet of a flow as routing sees it. The datagram is the whole packet,
// which the system may pass on and must not change; copy it to keep it.
struct flow_packet
{
    endpoint source;
    endpoint destination;
    // Position of the payload, and up to where the sender has received.
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0;
    // An opening packet, and how many copies of it the caller sent before.
    bool opens = false;
    std::uint8_t retransmissions = 0;
    bool acknowledges = false;
    bool closes = false;
    bool resets = false;
    // A backend server gave the packet back: it holds no such flow, or cannot
    // take a new one.
    bool returned = false;
    std::uint16_t payload_bytes = 0;
    packet_label label;
    byte_view datagram;
};

// The flow of a packet that a caller sent. The number of the route's address
// stands in the key's place for the service.
auto flow_from_caller(const flow_packet& packet) -> flow_key;

// The flow of a packet that a backend server sent.
auto flow_from_server(const flow_packet& packet) -> flow_key;

} // namespace briardrum

#endif
