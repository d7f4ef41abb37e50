#include "config/text/configuration_values.hpp"

#include "config/edit/configuration_check.hpp"
#include "config/text/entity_text.hpp"
#include "config/text/json_fields.hpp"

#include <limits>

namespace briardrum
{

namespace
{

using change_list = std::vector<configuration_change>;

constexpr std::uint64_t number_max = std::numeric_limits<std::int64_t>::max();
constexpr std::uint64_t service_id_max = std::numeric_limits<service_id>::max();

auto join(std::string_view prefix, std::string_view name) -> std::string
{
    return std::string(prefix) + std::string(name);
}

auto policy_key(const std::string& preset_name, const std::string& service_name)
    -> std::string
{
    return join(policy_prefix, preset_name) + "/" + service_name;
}

auto write_cookie_keys(const configuration& value) -> std::string
{
    auto out = nlohmann::json::array();
    for (const auto& key : value.cookie_keys)
    {
        out.push_back(to_json(key));
    }
    return out.dump();
}

// Calls put for each entity that is new or differs, with the old entity or
// nullptr, and remove for each that is gone.
template <typename Entities, typename Put, typename Remove>
auto compare_entities(const Entities& before, const Entities& after, Put put,
                      Remove remove) -> void
{
    const typename Entities::mapped_type* none = nullptr;
    for (const auto& [name, item] : before)
    {
        if (!after.contains(name))
        {
            remove(name, item);
        }
    }
    for (const auto& [name, item] : after)
    {
        const auto it = before.find(name);
        if (it == before.end())
        {
            put(name, item, none);
        }
        else if (it->second != item)
        {
            put(name, item, &it->second);
        }
    }
}

auto compare_services(const configuration& before, const configuration& after,
                      change_list& out) -> void
{
    compare_entities(
        before.services, after.services,
        [&](const auto& name, const auto& item, const auto*)
        {
            out.push_back({join(service_prefix, name), to_json(item).dump()});
        },
        [&](const auto& name, const auto&)
        {
            out.push_back({join(service_prefix, name), "", true});
        });
}

auto compare_policies(const std::string& preset_name, const preset& before,
                      const preset& after, change_list& out) -> void
{
    compare_entities(
        before.policies, after.policies,
        [&](const auto& name, const auto& item, const auto*)
        {
            out.push_back(
                {policy_key(preset_name, name), to_json(item).dump()});
        },
        [&](const auto& name, const auto&)
        {
            out.push_back({policy_key(preset_name, name), "", true});
        });
}

auto compare_presets(const configuration& before, const configuration& after,
                     change_list& out) -> void
{
    compare_entities(
        before.presets, after.presets,
        [&](const auto& name, const auto& item, const auto* old)
        {
            if (old == nullptr)
            {
                out.push_back({join(preset_prefix, name), "{}"});
            }
            compare_policies(name, old == nullptr ? preset{} : *old, item, out);
        },
        [&](const auto& name, const auto& item)
        {
            compare_policies(name, item, preset{}, out);
            out.push_back({join(preset_prefix, name), "", true});
        });
}

// Applies changes to a configuration and reports values that cannot be parsed.
class change_applier
{
public:
    change_applier(configuration& target, problem_list& problems)
        : target_(target), problems_(problems)
    {
    }

    auto apply(const configuration_change& change) -> void
    {
        const std::string_view key = change.key;
        if (key.starts_with(service_prefix))
        {
            apply_service(key.substr(service_prefix.size()), change);
        }
        else if (key.starts_with(preset_prefix))
        {
            apply_preset(key.substr(preset_prefix.size()), change);
        }
        else if (key.starts_with(policy_prefix))
        {
            apply_policy(key.substr(policy_prefix.size()), change);
        }
        else if (key == cookie_keys_key && !change.removed)
        {
            apply_cookie_keys(change);
        }
        else if (key == root_key && !change.removed)
        {
            apply_root(change);
        }
    }

private:
    // Parses the value of a change. Reports a problem and returns null if it is
    // not valid JSON.
    auto parse(const configuration_change& change) -> nlohmann::json
    {
        auto out = parse_json(change.value);
        if (!out.ok())
        {
            problems_.add(change.key, std::string(out.status().message()),
                          "JSON");
            return nullptr;
        }
        return *std::move(out);
    }

    auto apply_service(std::string_view name,
                       const configuration_change& change) -> void
    {
        const std::string key(name);
        if (change.removed)
        {
            target_.services.erase(key);
            return;
        }
        auto item = read_service(parse(change), change.key, problems_);
        item.name = key;
        target_.services[key] = item;
    }

    auto apply_preset(std::string_view name, const configuration_change& change)
        -> void
    {
        const std::string key(name);
        if (change.removed)
        {
            target_.presets.erase(key);
            return;
        }
        target_.presets[key].name = key;
    }

    auto apply_policy(std::string_view path, const configuration_change& change)
        -> void
    {
        const auto slash = path.find('/');
        if (slash == std::string_view::npos)
        {
            return;
        }
        const std::string preset_name(path.substr(0, slash));
        const std::string service_name(path.substr(slash + 1));
        if (change.removed)
        {
            const auto it = target_.presets.find(preset_name);
            if (it != target_.presets.end())
            {
                it->second.policies.erase(service_name);
            }
            return;
        }
        auto& item = target_.presets[preset_name];
        item.name = preset_name;
        item.policies[service_name] =
            read_policy(parse(change), change.key, problems_);
    }

    auto apply_cookie_keys(const configuration_change& change) -> void
    {
        const auto list = parse(change);
        if (!list.is_array() || list.size() > target_.cookie_keys.size())
        {
            problems_.add(change.key, "no valid list",
                          "a list of at most 2 keys");
            return;
        }
        for (std::size_t n = 0; n < list.size(); ++n)
        {
            target_.cookie_keys.at(n) =
                read_cookie_key(list[n], change.key, problems_);
        }
    }

    auto apply_root(const configuration_change& change) -> void
    {
        const auto object = parse(change);
        json_fields fields(object, change.key, problems_);
        fields.require("version");
        fields.number("version", 1, number_max, target_.version);
        fields.text("change_id", target_.change_id);
        fields.text("changed_by", target_.changed_by);
        fields.number("changed_at_ms", 0, number_max, target_.changed_at.count);
        fields.require("in_force");
        fields.text("in_force", target_.in_force);
        fields.require("next_service_id");
        fields.number("next_service_id", 1, service_id_max,
                      target_.next_service_id);
    }

    configuration& target_;
    problem_list& problems_;
};

} // namespace

auto write_root(const configuration& value) -> std::string
{
    nlohmann::ordered_json out;
    out["version"] = value.version;
    out["change_id"] = value.change_id;
    out["changed_by"] = value.changed_by;
    out["changed_at_ms"] = value.changed_at.count;
    out["in_force"] = value.in_force;
    out["next_service_id"] = value.next_service_id;
    return out.dump();
}

auto parse_root_version(std::string_view root) -> configuration_version
{
    const auto object = parse_json(root);
    if (!object.ok() || !object->is_object())
    {
        return 0;
    }
    const auto it = object->find("version");
    const auto found = it != object->end() && it->is_number_unsigned();
    return found ? it->get<configuration_version>() : 0;
}

auto changes_between(const configuration& before, const configuration& after)
    -> change_list
{
    change_list out;
    compare_services(before, after, out);
    compare_presets(before, after, out);
    if (before.cookie_keys != after.cookie_keys)
    {
        out.push_back({std::string(cookie_keys_key), write_cookie_keys(after)});
    }
    out.push_back({std::string(root_key), write_root(after)});
    return out;
}

auto write_values(const configuration& value) -> change_list
{
    return changes_between(configuration{}, value);
}

auto apply_changes(configuration base,
                   std::span<const configuration_change> changes)
    -> absl::StatusOr<configuration>
{
    problem_list problems;
    change_applier reader(base, problems);
    for (const auto& change : changes)
    {
        reader.apply(change);
    }
    if (problems.empty())
    {
        check_configuration(base, problems);
    }
    if (!problems.empty())
    {
        return make_error(error_kind::malformed,
                          std::string(problems.status().message()));
    }
    return base;
}

} // namespace briardrum
