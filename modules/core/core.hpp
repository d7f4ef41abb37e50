#ifndef BRIARDRUM_CORE_CORE_HPP
#define BRIARDRUM_CORE_CORE_HPP

// Types shared by all other modules: milliseconds, identifiers, endpoints,
// error kinds, tables of entities, random numbers and invariants.
//
// Depends on: no other module.

#include "core/bytes/byte_view.hpp"
#include "core/checks/invariant.hpp"
#include "core/errors/error_kind.hpp"
#include "core/events/event.hpp"
#include "core/net/endpoint.hpp"
#include "core/net/ids.hpp"
#include "core/random/random_source.hpp"
#include "core/tables/table.hpp"
#include "core/time/clock.hpp"
#include "core/time/millis.hpp"

#endif
