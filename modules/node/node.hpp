#ifndef BRIARDRUM_NODE_NODE_HPP
#define BRIARDRUM_NODE_NODE_HPP

// The decisions of one whole process, balancer or agent: messages and time
// in, messages out. Daemons hang sockets on the hooks; tests hang queues.
//
// Depends on: core, config, wire, membership, routing, requests, report.

#include "node/agent_core.hpp"
#include "node/balancer_core.hpp"
#include "node/distribution/configuration_distributor.hpp"
#include "node/distribution/watcher_choice.hpp"

#endif
