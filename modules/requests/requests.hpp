#ifndef BRIARDRUM_REQUESTS_REQUESTS_HPP
#define BRIARDRUM_REQUESTS_REQUESTS_HPP

// The life of a request at the agent that owns its flow: admission, limits,
// urgency, deadlines, retries, kept answers and tombstones; the exchanges and
// Observe registrations towards callers; and the cookies that tie a
// non-repeatable request to one owner. Free of I/O.
//
// Depends on: core, config, wire, membership, routing.

#include "requests/cookies/cookie_signer.hpp"
#include "requests/engine/request_engine.hpp"
#include "requests/exchanges/caller_exchanges.hpp"
#include "requests/exchanges/observe_table.hpp"

#endif
