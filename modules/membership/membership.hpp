#ifndef BRIARDRUM_MEMBERSHIP_MEMBERSHIP_HPP
#define BRIARDRUM_MEMBERSHIP_MEMBERSHIP_HPP

// Group membership: member records owned by their subject, disseminated by
// gossip, and failure detection by probes with suspicion and refutation.
// Spreads the placement policy among the members.
// Performs no I/O.
//
// Depends on: core, config, wire.

#include "membership/member_view.hpp"
#include "membership/policy/policy_spreader.hpp"

#endif
