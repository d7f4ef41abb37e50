#include "config/edit/configuration_diff.hpp"

#include "config/text/entity_text.hpp"

#include <absl/strings/str_cat.h>
namespace briardrum
{

namespace
{

using line_list = std::vector<std::string>;

auto join_fields(const field_list& fields) -> std::string
{
    std::string out;
    for (const auto& [name, value] : fields)
    {
        absl::StrAppend(&out, " ", name, " ", value);
    }
    return out;
}

// Appends the differences between entities of one kind. label goes before each
// name, for example "service ".
template <typename Entities>
auto compare_entities(const std::string& label, const Entities& before,
                      const Entities& after, line_list& out) -> void
{
    for (const auto& [name, item] : before)
    {
        if (!after.contains(name))
        {
            out.push_back(absl::StrCat("- ", label, name));
        }
    }
    for (const auto& [name, item] : after)
    {
        const auto it = before.find(name);
        const auto now = fields_of(item);
        if (it == before.end())
        {
            out.push_back(absl::StrCat("+ ", label, name, join_fields(now)));
            continue;
        }
        const auto old = fields_of(it->second);
        for (std::size_t n = 0; n < now.size(); ++n)
        {
            if (old[n] != now[n])
            {
                out.push_back(absl::StrCat("~ ", label, name, " ", now[n].first,
                                           " ", old[n].second, " -> ",
                                           now[n].second));
            }
        }
    }
}

auto compare_presets(const configuration& before, const configuration& after,
                     line_list& out) -> void
{
    for (const auto& [name, item] : before.presets)
    {
        if (!after.presets.contains(name))
        {
            out.push_back("- preset " + name);
        }
    }
    for (const auto& [name, item] : after.presets)
    {
        const auto it = before.presets.find(name);
        const auto is_new = it == before.presets.end();
        if (is_new)
        {
            out.push_back("+ preset " + name);
        }
        compare_entities("preset " + name + " ",
                         is_new ? preset{}.policies : it->second.policies,
                         item.policies, out);
    }
}

} // namespace

auto fields_of(const service& value) -> field_list
{
    return {{"address", to_string(value.address)},
            {"id", std::to_string(value.id)},
            {"repeatable", methods_to_string(value.repeatable)}};
}

auto fields_of(const service_policy& value) -> field_list
{
    return {
        {"share_percent", std::to_string(value.share_percent)},
        {"urgency", std::string(to_string(value.level))},
        {"queue_limit", std::to_string(value.queue_limit)},
        {"default_deadline_ms", std::to_string(value.default_deadline.count)},
        {"objective_ppm", std::to_string(value.objective_ppm)},
        {"objective_latency_ms", std::to_string(value.objective_latency.count)},
        {"retry_percent", std::to_string(value.retry_percent)}};
}

auto describe_difference(const configuration& before,
                         const configuration& after) -> line_list
{
    line_list out;
    compare_entities("service ", before.services, after.services, out);
    compare_presets(before, after, out);
    if (before.in_force != after.in_force)
    {
        out.push_back("~ in_force " + before.in_force + " -> " +
                      after.in_force);
    }
    if (before.cookie_keys[0] != after.cookie_keys[0])
    {
        out.push_back("~ cookie_key " +
                      std::to_string(before.cookie_keys[0].id) + " -> " +
                      std::to_string(after.cookie_keys[0].id));
    }
    return out;
}

} // namespace briardrum
