#ifndef BRIARDRUM_PACKETS_PACKETS_HPP
#define BRIARDRUM_PACKETS_PACKETS_HPP

// Routes flows of opaque packets. A balancer forwards each packet to the agent
// that owns its flow; the agent beside each backend server admits, queues,
// refuses or forwards new flows. Nothing in this module inspects the payload.
//
// Depends on: core, config, wire, membership, routing.

#include "packets/agent/packet_agent.hpp"
#include "packets/balancer/packet_balancer.hpp"
#include "packets/model/flow_packet.hpp"
#include "packets/model/packet_hooks.hpp"
#include "packets/model/packet_label.hpp"
#include "packets/model/route_table.hpp"

#endif
