#ifndef BRIARDRUM_ROUTING_ROUTING_HPP
#define BRIARDRUM_ROUTING_ROUTING_HPP

// Which server gets a flow: weighted rendezvous order over a service's
// servers, and the tables of flows and redirects that an agent keeps.
//
// Depends on: core, config, wire, membership.

#include "routing/choice/hint_cache.hpp"
#include "routing/choice/rendezvous.hpp"
#include "routing/choice/service_candidates.hpp"
#include "routing/choice/service_targets.hpp"
#include "routing/flows/flow_row.hpp"
#include "routing/flows/held_packets.hpp"
#include "routing/flows/redirect_table.hpp"
#include "routing/queues/packet_scheduler.hpp"
#include "routing/transfers/transfer_table.hpp"

#endif
