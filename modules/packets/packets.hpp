#ifndef BRIARDRUM_PACKETS_PACKETS_HPP
#define BRIARDRUM_PACKETS_PACKETS_HPP

// Flows of opaque packets: a balancer finds the agent that owns a flow, and
// the agent beside each backend server admits, queues, refuses and passes on
// what is opened there. Nothing here reads what a flow carries.
//
// Depends on: core, config, wire, membership, routing.

#include "packets/agent/packet_agent.hpp"
#include "packets/balancer/packet_balancer.hpp"
#include "packets/model/flow_packet.hpp"
#include "packets/model/packet_hooks.hpp"
#include "packets/model/packet_label.hpp"
#include "packets/model/route_table.hpp"

#endif
