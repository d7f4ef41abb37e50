#include "config/edit/configuration_check.hpp"

#include "config/text/entity_text.hpp"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <map>

namespace briardrum
{

namespace
{

constexpr std::size_t name_length_max = 40;
constexpr std::uint32_t share_percent_max = 100;
constexpr std::uint32_t queue_limit_max = 100'000;
constexpr std::uint32_t objective_ppm_max = 1'000'000;

constexpr std::string_view name_rule =
    "1 to 40 lower-case letters, digits and dashes, a letter first";

auto is_letter(char it) -> bool
{
    return it >= 'a' && it <= 'z';
}

auto check_name(const std::string& path, const std::string& name,
                problem_list& problems) -> void
{
    if (!is_entity_name(name))
    {
        problems.add(path + name, "the name \"" + name + "\"", name_rule);
    }
}

auto check_services(const configuration& value, problem_list& problems) -> void
{
    if (value.services.size() > services_max)
    {
        problems.add("services", std::to_string(value.services.size()),
                     "at most " + std::to_string(services_max));
    }
    std::map<endpoint, std::string> addresses;
    std::map<service_id, std::string> ids;
    for (const auto& [name, item] : value.services)
    {
        const auto path = "services." + name;
        check_name("services.", name, problems);
        const auto [other, added] = addresses.emplace(item.address, name);
        if (!added)
        {
            problems.add(path + ".address",
                         "\"" + to_string(item.address) + "\", used by " +
                             other->second,
                         "an address that no other service has");
        }
        const auto [owner, is_new] = ids.emplace(item.id, name);
        if (!is_new || item.id == 0 || item.id >= value.next_service_id)
        {
            problems.add(path + ".id", std::to_string(item.id),
                         "a unique number from 1 to " +
                             std::to_string(value.next_service_id - 1));
        }
    }
}

auto check_number(const std::string& field, std::uint64_t found,
                  std::uint64_t min, std::uint64_t max, problem_list& problems)
    -> void
{
    if (found < min || found > max)
    {
        problems.add(field, std::to_string(found),
                     std::to_string(min) + " to " + std::to_string(max));
    }
}

auto check_policy(const std::string& path, const service_policy& policy,
                  problem_list& problems) -> void
{
    const auto check_time = [&](const char* name, millis found, millis min)
    {
        if (found < min || found > minutes(10))
        {
            problems.add(path + name, std::to_string(found.count),
                         std::to_string(min.count) + " to " +
                             std::to_string(minutes(10).count));
        }
    };
    check_number(path + ".share_percent", policy.share_percent, 1,
                 share_percent_max, problems);
    check_number(path + ".queue_limit", policy.queue_limit, 1, queue_limit_max,
                 problems);
    check_number(path + ".objective_ppm", policy.objective_ppm, 1,
                 objective_ppm_max, problems);
    check_number(path + ".retry_percent", policy.retry_percent, 0, 100,
                 problems);
    check_time(".default_deadline_ms", policy.default_deadline,
               milliseconds(10));
    check_time(".objective_latency_ms", policy.objective_latency,
               milliseconds(1));
}

auto check_preset(const configuration& value, const preset& item,
                  problem_list& problems) -> void
{
    const auto path = "presets." + item.name;
    std::uint64_t shares = 0;
    for (const auto& [service_name, policy] : item.policies)
    {
        const auto field = absl::StrCat(path, ".", service_name);
        if (!value.services.contains(service_name))
        {
            problems.add(field, "no service of that name",
                         "the name of an existing service");
        }
        check_policy(field, policy, problems);
        shares += policy.share_percent;
    }
    if (shares > share_percent_max)
    {
        problems.add(path, "shares of " + std::to_string(shares) + "%",
                     "shares that add up to at most 100%");
    }
}

} // namespace

auto is_entity_name(std::string_view name) -> bool
{
    if (name.empty() || name.size() > name_length_max ||
        !is_letter(name.front()))
    {
        return false;
    }
    return std::all_of(name.begin(), name.end(),
                       [](char it)
                       {
                           return is_letter(it) || it == '-' ||
                                  (it >= '0' && it <= '9');
                       });
}

auto check_configuration(const configuration& value, problem_list& problems)
    -> void
{
    check_services(value, problems);
    check_number("presets", value.presets.size(), 1, presets_max, problems);
    for (const auto& [name, item] : value.presets)
    {
        check_name("presets.", name, problems);
        check_preset(value, item, problems);
    }
    if (!value.presets.contains(value.in_force))
    {
        problems.add("in_force", "\"" + value.in_force + "\"",
                     "the name of an existing preset");
    }
}

namespace
{

// Returns the first preset whose policy for the service differs from the
// default policy, or "".
auto find_preset_with_policy(const configuration& value,
                             const std::string& name) -> std::string
{
    for (const auto& [preset_name, item] : value.presets)
    {
        const auto it = item.policies.find(name);
        if (it != item.policies.end() && it->second != service_policy{})
        {
            return preset_name;
        }
    }
    return "";
}

auto check_service_change(const service& old, const configuration& before,
                          const configuration& after, problem_list& problems)
    -> void
{
    const auto path = "services." + old.name;
    const auto* now = after.find(old.name);
    if (now == nullptr)
    {
        const auto user = find_preset_with_policy(before, old.name);
        if (!user.empty())
        {
            problems.add(path,
                         "a removal while preset " + user +
                             " has a non-default policy for it",
                         "the removal of that policy first");
        }
        return;
    }
    if (now->id != old.id)
    {
        problems.add(path + ".id", std::to_string(now->id),
                     std::to_string(old.id) +
                         ", because the id of a service is fixed");
    }
}

} // namespace

auto check_change(const configuration& before, const configuration& after,
                  problem_list& problems) -> void
{
    if (after.version <= before.version)
    {
        problems.add("version", std::to_string(after.version),
                     "more than " + std::to_string(before.version));
    }
    if (after.next_service_id < before.next_service_id)
    {
        problems.add("next_service_id", std::to_string(after.next_service_id),
                     "at least " + std::to_string(before.next_service_id));
    }
    for (const auto& [name, old] : before.services)
    {
        check_service_change(old, before, after, problems);
    }
    if (before.presets.contains(before.in_force) &&
        !after.presets.contains(before.in_force))
    {
        problems.add("presets." + before.in_force, "a removal while in force",
                     "another preset to be put in force first");
    }
}

} // namespace briardrum
