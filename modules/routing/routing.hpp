#ifndef BRIARDRUM_ROUTING_ROUTING_HPP
#define BRIARDRUM_ROUTING_ROUTING_HPP

// Selects the server for a flow by weighted rendezvous hashing over a service's
// servers, holds the agent's tables of flows, redirects and transfers, and the
// balancer's packet queues.

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
