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

// JSON form of the parts of a configuration, used in whole documents and in
// stored values alike. Policy fields other than the share are omitted if they
// have their default value, which keeps stored values small; read_policy()
// restores them.

auto to_json(const service& value) -> nlohmann::json;
auto to_json(const service_policy& value) -> nlohmann::json;
auto to_json(const cookie_key& value) -> nlohmann::json;

// The read functions report problems under path, the path of the object.
auto read_service(const nlohmann::json& object, const std::string& path,
                  problem_list& problems) -> service;
// Missing fields are taken from base.
auto read_policy(const nlohmann::json& object, const std::string& path,
                 problem_list& problems, const service_policy& base = {})
    -> service_policy;
// Reads only the fields that are present in the object.
auto read_policy_fields(const nlohmann::json& object, const std::string& path,
                        problem_list& problems) -> policy_fields;
auto read_cookie_key(const nlohmann::json& object, const std::string& path,
                     problem_list& problems) -> cookie_key;

auto to_string(urgency level) -> std::string_view;

// Returns the method names in the order of their codes: "GET, POST".
auto methods_to_string(method_set methods) -> std::string;

} // namespace briardrum

#endif
