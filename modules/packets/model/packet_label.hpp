#ifndef BRIARDRUM_PACKETS_MODEL_PACKET_LABEL_HPP
#define BRIARDRUM_PACKETS_MODEL_PACKET_LABEL_HPP

#include "core/core.hpp"

#include <string_view>

namespace briardrum
{

// Why one process of the system sends a packet to another.
enum class label_kind : std::uint8_t
{
    // From outside the system.
    none = 0,
    // A balancer forwards a caller's packet to the agent it believes in.
    forward = 1,
    // An opening packet looks for an agent with a free slot.
    offer = 2,
    // The search for a free slot is over: the receiver keeps the opening
    // packet or refuses it.
    settle = 3,
    // An agent passes a packet on to the flow's owner.
    relay = 4,
    // An agent asks the others whether the flow is theirs; the owner delivers
    // the packet.
    locate = 5,
    // Without a payload: the sender owns the flow.
    owned = 6,
    // Without a payload, from an agent to a balancer: who owns the flow.
    hint = 7,
    // Without a payload, in answer to locate: the sender is sure that neither
    // it nor its server holds the flow.
    unowned = 8,
};

constexpr std::uint8_t label_kind_last =
    static_cast<std::uint8_t>(label_kind::unowned);

auto to_string(label_kind kind) -> std::string_view;

// Number of a service on the wire between balancers and agents, made from its
// name; 0 means "none".
using service_tag = std::uint32_t;

auto service_tag_of(std::string_view service_name) -> service_tag;

// What processes of the system tell each other with a packet that they pass
// on. It travels in bytes of the packet's head that its ends do not read.
struct packet_label
{
    // Most hops and positions that fit.
    static constexpr std::uint8_t hops_max = 15;
    static constexpr std::uint8_t best_wait_max = 255;
    static constexpr std::uint16_t waited_ms_max = 65535;
    static constexpr millis best_wait_unit = milliseconds(4);

    label_kind kind = label_kind::none;
    // How urgent the flow's route is; 0 is highest, at most 15.
    std::uint8_t urgency = 0;
    // Agents that have seen the packet.
    std::uint8_t hops = 0;
    // The agent with the shortest expected wait of those an offer has seen: its
    // position in the flow's order, and the wait in units of best_wait_unit.
    std::uint8_t best_position = 0;
    std::uint8_t best_wait = best_wait_max;
    // How long an opening packet has waited in queues, in milliseconds.
    std::uint16_t waited_ms = 0;
    // The service that the packet was routed to; not sent with a hint.
    service_tag service = 0;
    // Only sent with a hint: the IPv4 address of the owner's VM.
    std::uint32_t owner_address = 0;
};

} // namespace briardrum

#endif
