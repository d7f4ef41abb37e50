#ifndef BRIARDRUM_MEMBERSHIP_GOSSIP_RELAY_CHOICE_HPP
#define BRIARDRUM_MEMBERSHIP_GOSSIP_RELAY_CHOICE_HPP

#include "core/core.hpp"

#include <span>
#include <string_view>
#include <vector>

namespace briardrum
{

// Members of a data centre that gossip with other data centres.
constexpr std::size_t relays_per_data_centre = 3;

// The members that win rendezvous hashing for a role among those alive.
// Processes that know the same members choose the same ones without asking
// anybody; for others the choice differs by the members that they miss.
// Used for the relays of a data centre and by others for roles of their own.
auto choose_for_role(std::string_view role, std::span<const member_id> live,
                     std::size_t n) -> std::vector<member_id>;

// The relays of a data centre.
auto choose_relays(std::string_view data_centre,
                   std::span<const member_id> live) -> std::vector<member_id>;

} // namespace briardrum

#endif
