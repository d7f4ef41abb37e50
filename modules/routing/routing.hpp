#ifndef BRIARDRUM_ROUTING_ROUTING_HPP
#define BRIARDRUM_ROUTING_ROUTING_HPP

// Which server gets a flow: weighted rendezvous order over a service's
// servers, and the tables of flows and redirects that an agent keeps.
//
// Depends on: core, config, wire, membership.

#include "routing/choice/rendezvous.hpp"

#endif
