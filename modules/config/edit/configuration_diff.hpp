#ifndef BRIARDRUM_CONFIG_EDIT_CONFIGURATION_DIFF_HPP
#define BRIARDRUM_CONFIG_EDIT_CONFIGURATION_DIFF_HPP

#include "config/model/configuration.hpp"

#include <string>
#include <utility>
#include <vector>

namespace briardrum
{

// Names and values of an entity's fields, formatted for display.
using field_list = std::vector<std::pair<std::string, std::string>>;

auto fields_of(const service& value) -> field_list;
auto fields_of(const service_policy& value) -> field_list;

// Describes the differences between two configurations, one line for each:
//
//     + service docs address 10.0.0.2:5683
//     ~ preset peak manifest share_percent 40 -> 60
//     - preset old
//     ~ in_force ordinary -> peak
//
// Versions, authors and the secrets of cookie keys are left out.
auto describe_difference(const configuration& before,
                         const configuration& after)
    -> std::vector<std::string>;

} // namespace briardrum

#endif
