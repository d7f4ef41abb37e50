#ifndef BRIARDRUM_CONFIG_TEXT_ENTITY_TEXT_HPP
#define BRIARDRUM_CONFIG_TEXT_ENTITY_TEXT_HPP

#include "config/edit/configuration_edit.hpp"
#include "config/model/configuration.hpp"
#include "config/text/problem_list.hpp"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace briardrum
{

// JSON of the parts of a configuration, as they stand in whole documents and
// in single stored values alike. Fields at their default are left out of a
// policy, so that stored values stay small; readers fill them in again.

auto to_json(const service& value) -> nlohmann::json;
auto to_json(const service_policy& value) -> nlohmann::json;
auto to_json(const cookie_key& value) -> nlohmann::json;

// path names the object in problems.
auto read_service(const nlohmann::json& object, const std::string& path,
                  problem_list& problems) -> service;
// Fields that are missing keep their value in base.
auto read_policy(const nlohmann::json& object, const std::string& path,
                 problem_list& problems, const service_policy& base = {})
    -> service_policy;
// The fields of a policy that the object names.
auto read_policy_fields(const nlohmann::json& object, const std::string& path,
                        problem_list& problems) -> policy_fields;
auto read_cookie_key(const nlohmann::json& object, const std::string& path,
                     problem_list& problems) -> cookie_key;

auto to_string(urgency level) -> std::string_view;

// "GET", "POST", ... in the order of their codes, with comma and space.
auto methods_to_string(method_set methods) -> std::string;

} // namespace briardrum

#endif
