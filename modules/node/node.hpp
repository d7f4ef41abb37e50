#ifndef BRIARDRUM_NODE_NODE_HPP
#define BRIARDRUM_NODE_NODE_HPP

// Logic of one whole process, balancer or agent, with messages and time as
// input and messages as output. Daemons connect the hooks to sockets, tests to
// queues.
//
// Depends on: core, config, wire, membership, routing, requests, report.

#include "node/agent_core.hpp"
#include "node/balancer_core.hpp"
#include "node/distribution/configuration_distributor.hpp"
#include "node/distribution/watcher_choice.hpp"

#endif
