#ifndef BRIARDRUM_MEMBERSHIP_MEMBERSHIP_HPP
#define BRIARDRUM_MEMBERSHIP_MEMBERSHIP_HPP

// Who is there: records owned by their subject, spread by gossip, and failure
// detection by probes with suspicion and refutation. Free of I/O.
//
// Depends on: core, config, wire.

#include "membership/member_view.hpp"

#endif
