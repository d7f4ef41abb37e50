#ifndef BRIARDRUM_PACKETS_MODEL_PACKET_LABEL_HPP
#define BRIARDRUM_PACKETS_MODEL_PACKET_LABEL_HPP

#include "core/core.hpp"

#include <string_view>

namespace briardrum
{

// The reason for which one process of the system sends a packet to another.
enum class label_kind : std::uint8_t
{
    // The packet comes from outside the system.
    none = 0,
    // A balancer forwards a caller's packet to the agent that it expects to own
    // the flow.
    forward = 1,
    // An opening packet is offered to an agent, which accepts it if it has a
    // free slot.
    offer = 2,
    // No agent had a free slot: the receiver must start, queue or refuse the
    // opening packet.
    settle = 3,
    // An agent forwards a packet to the owner of the flow.
    relay = 4,
    // An agent asks all others whether they own the flow; the owner delivers
    // the packet.
    locate = 5,
    // Notice without a payload: the sender owns the flow.
    owned = 6,
    // Notice without a payload, from an agent to a balancer: the owner of the
    // flow.
    hint = 7,
    // Notice without a payload, in answer to locate: the sender is certain that
    // neither it nor its server holds the flow.
    unowned = 8,
    // A balancer sends an opening packet to a second agent because the flow
    // opens slowly: the receiver starts the flow in an idle slot or drops the
    // packet.
    hedge = 9,
};

constexpr std::uint8_t label_kind_last =
    static_cast<std::uint8_t>(label_kind::hedge);

auto to_string(label_kind kind) -> std::string_view;

// Hash of a service name, used on the wire between balancers and agents; 0
// means "none".
using service_tag = std::uint32_t;

auto service_tag_of(std::string_view service_name) -> service_tag;

// Routing metadata that processes of the system attach to a packet they
// forward. It is carried in header bytes that the two ends of the flow do not
// read.
struct packet_label
{
    // Largest values that fit into the wire format.
    static constexpr std::uint8_t hops_max = 15;
    static constexpr std::uint8_t best_wait_max = 255;
    static constexpr std::uint16_t waited_ms_max = 65535;
    static constexpr std::uint16_t deadline_ms_max = 65535;
    // Value of best_position in the first packet of a flow after its opening
    // packet was sent to a second agent, and in notices of the second agent.
    static constexpr std::uint8_t hedged_mark = 1;
    static constexpr millis best_wait_unit = milliseconds(4);

    label_kind kind = label_kind::none;
    // Urgency of the flow's route, from 0 (highest) to 15.
    std::uint8_t urgency = 0;
    // Number of agents that have handled the packet.
    std::uint8_t hops = 0;
    // Of the agents that an offer has visited, the one with the shortest
    // expected wait: its position in the flow's rendezvous order, and the wait
    // in units of best_wait_unit.
    std::uint8_t best_position = 0;
    std::uint8_t best_wait = best_wait_max;
    // Time that an opening packet has spent in queues, in milliseconds.
    std::uint16_t waited_ms = 0;
    // Time for which callers of the route wait for an answer, in milliseconds;
    // 0 if it is not known. Only in packets that do not open a flow, which
    // carry no waited_ms.
    std::uint16_t deadline_ms = 0;
    // The service that the packet was routed to; not sent with a hint.
    service_tag service = 0;
    // IPv4 address of the VM of the owner; only sent with a hint.
    std::uint32_t owner_address = 0;
};

} // namespace briardrum

#endif
