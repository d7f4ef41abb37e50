#ifndef BRIARDRUM_MEMBERSHIP_GOSSIP_RELAY_CHOICE_HPP
#define BRIARDRUM_MEMBERSHIP_GOSSIP_RELAY_CHOICE_HPP

#include "core/core.hpp"

#include <span>
#include <string_view>
#include <vector>

namespace briardrum
{

// Number of members of a data centre that gossip with other data centres.
constexpr std::size_t relays_per_data_centre = 3;

// Chooses the n live members with the best rendezvous hash for a role.
// Processes with the same set of live members choose the same ones without
// coordination; with differing sets, the results differ only by the members
// missing. Used for the relays of a data centre and for other roles.
auto choose_for_role(std::string_view role, std::span<const member_id> live,
                     std::size_t n) -> std::vector<member_id>;

// Chooses the relays of a data centre.
auto choose_relays(std::string_view data_centre,
                   std::span<const member_id> live) -> std::vector<member_id>;

} // namespace briardrum

#endif
