#ifndef BRIARDRUM_CONFIG_EDIT_CONFIGURATION_CHECK_HPP
#define BRIARDRUM_CONFIG_EDIT_CONFIGURATION_CHECK_HPP

#include "config/model/configuration.hpp"
#include "config/text/problem_list.hpp"

#include <string_view>

namespace briardrum
{

// Limits on the entities of one configuration, so that a snapshot fits into a
// single frame between processes. The number of policies in a preset needs no
// limit of its own: each has a share of at least 1 percent, and the shares add
// up to at most 100.
constexpr std::size_t services_max = 12'000;
constexpr std::size_t presets_max = 20;

// Returns whether name has 1 to 40 lower-case letters, digits and dashes and
// starts with a letter.
auto is_entity_name(std::string_view name) -> bool;

// Validates a whole configuration and adds every violation to problems:
// invalid names, values out of range, duplicate addresses or service ids,
// shares that add up to more than 100 percent, policies for services that do
// not exist, and a preset in force that does not exist.
auto check_configuration(const configuration& value, problem_list& problems)
    -> void;

// Validates the transition between two versions, in addition to
// check_configuration(), and adds every violation to problems. The version
// must increase, next_service_id must not decrease, and a service must keep
// its id. A service must not be removed while a preset has a policy for it
// other than the default, nor the preset that is in force.
auto check_change(const configuration& before, const configuration& after,
                  problem_list& problems) -> void;

} // namespace briardrum

#endif
