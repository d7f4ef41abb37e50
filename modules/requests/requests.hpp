#ifndef BRIARDRUM_REQUESTS_REQUESTS_HPP
#define BRIARDRUM_REQUESTS_REQUESTS_HPP

// Handles requests at the agent that owns their flow: admission, limits,
// urgency, deadlines, retries, stored answers and tombstones; message exchanges
// and Observe registrations with callers; and the cookies that bind a
// non-repeatable request to one owner. Does no I/O.

#include "requests/cookies/cookie_signer.hpp"
#include "requests/engine/request_engine.hpp"
#include "requests/exchanges/caller_exchanges.hpp"
#include "requests/exchanges/observe_table.hpp"

#endif
