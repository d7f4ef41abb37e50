#ifndef BRIARDRUM_CONFIG_EDIT_CONFIGURATION_CHECK_HPP
#define BRIARDRUM_CONFIG_EDIT_CONFIGURATION_CHECK_HPP

#include "config/model/configuration.hpp"
#include "config/text/problem_list.hpp"

#include <string_view>

namespace briardrum
{

// Largest numbers of entities that one configuration may hold, so that a
// snapshot fits one frame between processes. A preset's policies are bounded
// by its shares: each is at least 1 percent.
constexpr std::size_t services_max = 12'000;
constexpr std::size_t presets_max = 20;

// True for 1 to 40 lower-case letters, digits and dashes, a letter first.
auto is_entity_name(std::string_view name) -> bool;

// Notes everything that must hold in a whole configuration and does not:
// names, limits, addresses used twice, shares above 100 percent, policies of
// services that do not exist, and exactly one existing preset in force.
auto check_configuration(const configuration& value, problem_list& problems)
    -> void;

// Notes what must not happen between two versions, beyond what each must
// hold: the version rises, a service id never changes its owner, a service
// that a preset names is not removed, nor is the preset in force.
auto check_change(const configuration& before, const configuration& after,
                  problem_list& problems) -> void;

} // namespace briardrum

#endif
