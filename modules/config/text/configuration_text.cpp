#include "config/text/configuration_text.hpp"

#include "config/edit/configuration_check.hpp"
#include "config/text/entity_text.hpp"
#include "config/text/json_fields.hpp"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <limits>

namespace briardrum
{

namespace
{

constexpr std::uint64_t version_max = std::numeric_limits<std::int64_t>::max();
constexpr std::uint64_t service_id_max = std::numeric_limits<service_id>::max();

auto read_services(json_fields& fields, configuration& out,
                   problem_list& problems) -> void
{
    const auto* object = fields.object("services");
    if (object == nullptr)
    {
        return;
    }
    for (const auto& [name, value] : object->items())
    {
        auto item = read_service(value, "services." + name, problems);
        item.name = name;
        out.services[name] = item;
    }
}

auto read_presets(json_fields& fields, configuration& out,
                  problem_list& problems) -> void
{
    const auto* object = fields.object("presets");
    if (object == nullptr)
    {
        return;
    }
    for (const auto& [name, policies] : object->items())
    {
        preset item;
        item.name = name;
        const auto path = "presets." + name;
        const json_fields object_check(policies, path, problems);
        for (const auto& [service_name, policy] : policies.items())
        {
            item.policies[service_name] = read_policy(
                policy, absl::StrCat(path, ".", service_name), problems);
        }
        out.presets[name] = item;
    }
}

auto read_cookie_keys(json_fields& fields, configuration& out,
                      problem_list& problems) -> void
{
    const auto* list = fields.array("cookie_keys");
    if (list == nullptr)
    {
        return;
    }
    if (list->size() > out.cookie_keys.size())
    {
        fields.add_problem("cookie_keys",
                           std::to_string(list->size()) + " keys",
                           "at most 2 keys");
        return;
    }
    for (std::size_t n = 0; n < list->size(); ++n)
    {
        const auto path = "cookie_keys[" + std::to_string(n) + "]";
        out.cookie_keys.at(n) = read_cookie_key((*list)[n], path, problems);
    }
}

// Assigns ids to the services that have none in the document.
auto assign_service_ids(configuration& out) -> void
{
    for (const auto& [name, item] : out.services)
    {
        out.next_service_id = std::max(out.next_service_id, item.id + 1);
    }
    for (auto& [name, item] : out.services)
    {
        if (item.id == 0)
        {
            item.id = out.next_service_id++;
        }
    }
}

auto read_document(const nlohmann::json& document, problem_list& problems)
    -> configuration
{
    configuration out;
    out.version = 1;
    json_fields fields(document, "", problems);
    fields.number("version", 1, version_max, out.version);
    fields.text("change_id", out.change_id);
    fields.text("changed_by", out.changed_by);
    fields.number("changed_at_ms", 0, version_max, out.changed_at.count);
    fields.require("in_force");
    fields.text("in_force", out.in_force);
    fields.number("next_service_id", 1, service_id_max, out.next_service_id);
    read_services(fields, out, problems);
    read_presets(fields, out, problems);
    read_cookie_keys(fields, out, problems);
    fields.finish();
    return out;
}

} // namespace

auto parse_configuration(std::string_view text) -> absl::StatusOr<configuration>
{
    const auto document = parse_json(text);
    if (!document.ok())
    {
        return document.status();
    }
    problem_list problems;
    auto out = read_document(*document, problems);
    assign_service_ids(out);
    check_configuration(out, problems);
    if (!problems.empty())
    {
        return problems.status();
    }
    return out;
}

auto write_configuration(const configuration& value) -> std::string
{
    constexpr int indent = 4;
    nlohmann::ordered_json out;
    out["version"] = value.version;
    out["change_id"] = value.change_id;
    out["changed_by"] = value.changed_by;
    out["changed_at_ms"] = value.changed_at.count;
    out["in_force"] = value.in_force;
    out["next_service_id"] = value.next_service_id;
    out["services"] = nlohmann::json::object();
    for (const auto& [name, item] : value.services)
    {
        out["services"][name] = to_json(item);
    }
    out["presets"] = nlohmann::json::object();
    for (const auto& [name, item] : value.presets)
    {
        auto& policies = out["presets"][name] = nlohmann::json::object();
        for (const auto& [service_name, policy] : item.policies)
        {
            policies[service_name] = to_json(policy);
        }
    }
    out["cookie_keys"] = nlohmann::json::array();
    for (const auto& key : value.cookie_keys)
    {
        if (key.id != 0)
        {
            out["cookie_keys"].push_back(nlohmann::ordered_json(to_json(key)));
        }
    }
    return out.dump(indent) + "\n";
}

} // namespace briardrum
