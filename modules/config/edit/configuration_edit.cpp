#include "config/edit/configuration_edit.hpp"

#include "config/edit/configuration_check.hpp"
#include "config/text/configuration_values.hpp"

#include <utility>

namespace briardrum
{

namespace
{

constexpr std::string_view initial_preset_name = "ordinary";

template <typename Entities>
auto names_of(const Entities& entities) -> std::string
{
    std::string out;
    for (const auto& [name, item] : entities)
    {
        out += (out.empty() ? "" : ", ") + name;
    }
    return out.empty() ? "none" : out;
}

template <typename Value>
auto assign_if_set(Value& target, const std::optional<Value>& value) -> void
{
    target = value.value_or(target);
}

auto merge(service& target, const service_fields& fields) -> void
{
    assign_if_set(target.address, fields.address);
    assign_if_set(target.repeatable, fields.repeatable);
}

auto merge(service_policy& target, const policy_fields& fields) -> void
{
    assign_if_set(target.share_percent, fields.share_percent);
    assign_if_set(target.level, fields.level);
    assign_if_set(target.queue_limit, fields.queue_limit);
    assign_if_set(target.default_deadline, fields.default_deadline);
    assign_if_set(target.objective_ppm, fields.objective_ppm);
    assign_if_set(target.objective_latency, fields.objective_latency);
    assign_if_set(target.retry_percent, fields.retry_percent);
}

// Visitor that applies an edit to a configuration.
class edit_applier
{
public:
    explicit edit_applier(configuration& target) : target_(target) {}

    auto operator()(const create_service& edit) -> absl::Status
    {
        if (target_.services.contains(edit.name))
        {
            return already_exists_error("service", edit.name);
        }
        if (!edit.fields.address.has_value())
        {
            return make_error(error_kind::invalid_argument,
                              "service " + edit.name +
                                  ": found no address, expected an address "
                                  "like 10.0.0.1:5683");
        }
        auto& item = target_.services[edit.name];
        item.name = edit.name;
        item.id = target_.next_service_id++;
        merge(item, edit.fields);
        return absl::OkStatus();
    }

    auto operator()(const edit_service& edit) -> absl::Status
    {
        const auto it = target_.services.find(edit.name);
        if (it == target_.services.end())
        {
            return not_found_error("service", edit.name,
                                   names_of(target_.services));
        }
        merge(it->second, edit.fields);
        return absl::OkStatus();
    }

    // Also removes the policies for the service. check_change() rejects the
    // edit if one of them differs from the default policy.
    auto operator()(const remove_service& edit) -> absl::Status
    {
        if (target_.services.erase(edit.name) == 0)
        {
            return not_found_error("service", edit.name,
                                   names_of(target_.services));
        }
        for (auto& [name, item] : target_.presets)
        {
            item.policies.erase(edit.name);
        }
        return absl::OkStatus();
    }

    auto operator()(const create_preset& edit) -> absl::Status
    {
        if (target_.presets.contains(edit.name))
        {
            return already_exists_error("preset", edit.name);
        }
        preset item{edit.name, edit.policies};
        if (!edit.copy_of.empty())
        {
            const auto it = target_.presets.find(edit.copy_of);
            if (it == target_.presets.end())
            {
                return preset_not_found_error(edit.copy_of);
            }
            item.policies.insert(it->second.policies.begin(),
                                 it->second.policies.end());
        }
        target_.presets[edit.name] = item;
        return absl::OkStatus();
    }

    auto operator()(const edit_preset& edit) -> absl::Status
    {
        const auto it = target_.presets.find(edit.name);
        if (it == target_.presets.end())
        {
            return preset_not_found_error(edit.name);
        }
        auto& policies = it->second.policies;
        for (const auto& [name, fields] : edit.set)
        {
            merge(policies[name], fields);
        }
        for (const auto& name : edit.unset)
        {
            if (policies.erase(name) == 0)
            {
                return not_found_error("policy in preset " + edit.name +
                                           " for service",
                                       name, names_of(policies));
            }
        }
        return absl::OkStatus();
    }

    auto operator()(const replace_preset& edit) -> absl::Status
    {
        const auto it = target_.presets.find(edit.name);
        if (it == target_.presets.end())
        {
            return preset_not_found_error(edit.name);
        }
        it->second.policies = edit.policies;
        return absl::OkStatus();
    }

    auto operator()(const remove_preset& edit) -> absl::Status
    {
        if (edit.name == target_.in_force)
        {
            return make_error(error_kind::invalid_argument,
                              "presets." + edit.name +
                                  ": cannot be removed while in force; put "
                                  "another preset in force first");
        }
        if (target_.presets.erase(edit.name) == 0)
        {
            return preset_not_found_error(edit.name);
        }
        return absl::OkStatus();
    }

    auto operator()(const use_preset& edit) -> absl::Status
    {
        if (!target_.presets.contains(edit.name))
        {
            return preset_not_found_error(edit.name);
        }
        target_.in_force = edit.name;
        return absl::OkStatus();
    }

    auto operator()(const rotate_cookie_key& edit) -> absl::Status
    {
        auto& keys = target_.cookie_keys;
        keys[1] = keys[0];
        keys[0].id = next_key_id(keys[1].id);
        keys[0].secret = edit.secret;
        return absl::OkStatus();
    }

private:
    // Wraps around from 255 to 1, because id 0 means "no key".
    static auto next_key_id(std::uint8_t id) -> std::uint8_t
    {
        return id == 255 ? 1 : static_cast<std::uint8_t>(id + 1);
    }

    static auto already_exists_error(std::string_view kind,
                                     const std::string& name) -> absl::Status
    {
        return make_error(error_kind::invalid_argument,
                          std::string(kind) + " " + name +
                              " exists already; edit it instead");
    }

    static auto not_found_error(const std::string& kind,
                                const std::string& name,
                                const std::string& known) -> absl::Status
    {
        return make_error(error_kind::not_found, "there is no " + kind + " " +
                                                     name +
                                                     "; there are: " + known);
    }

    auto preset_not_found_error(const std::string& name) const -> absl::Status
    {
        return not_found_error("preset", name, names_of(target_.presets));
    }

    configuration& target_;
};

class edit_summariser
{
public:
    auto operator()(const create_service& edit) -> std::string
    {
        return "create service " + edit.name;
    }

    auto operator()(const edit_service& edit) -> std::string
    {
        return "edit service " + edit.name;
    }

    auto operator()(const remove_service& edit) -> std::string
    {
        return "remove service " + edit.name;
    }

    auto operator()(const create_preset& edit) -> std::string
    {
        return "create preset " + edit.name;
    }

    auto operator()(const edit_preset& edit) -> std::string
    {
        return "edit preset " + edit.name;
    }

    auto operator()(const replace_preset& edit) -> std::string
    {
        return "edit preset " + edit.name;
    }

    auto operator()(const remove_preset& edit) -> std::string
    {
        return "remove preset " + edit.name;
    }

    auto operator()(const use_preset& edit) -> std::string
    {
        return "use preset " + edit.name;
    }

    auto operator()(const rotate_cookie_key&) -> std::string
    {
        return "rotate cookie key";
    }
};

auto check(const configuration& before, const edited_configuration& edited)
    -> absl::Status
{
    problem_list problems;
    check_configuration(edited.after, problems);
    check_change(before, edited.after, problems);
    if (edited.changes.size() > changes_max)
    {
        problems.add(
            "change", std::to_string(edited.changes.size()) + " values",
            "at most " + std::to_string(changes_max) + " in one change");
    }
    return problems.status();
}

} // namespace

auto initial_configuration(const std::array<std::uint8_t, 32>& secret)
    -> configuration
{
    configuration out;
    out.in_force = initial_preset_name;
    out.presets[out.in_force].name = out.in_force;
    out.cookie_keys[0] = {1, secret};
    return out;
}

auto apply_edit(const configuration& before, const configuration_edit& edit,
                const change_author& author)
    -> absl::StatusOr<edited_configuration>
{
    edited_configuration out{before, {}};
    const auto status = std::visit(edit_applier(out.after), edit);
    if (!status.ok())
    {
        return status;
    }
    out.after.version = before.version + 1;
    out.after.change_id = author.change_id;
    out.after.changed_by = author.name;
    out.after.changed_at = author.at;
    // At version 0 nothing is stored yet, so all values must be written.
    out.changes = before.version == 0 ? write_values(out.after)
                                      : changes_between(before, out.after);
    const auto checked = check(before, out);
    if (!checked.ok())
    {
        return checked;
    }
    return out;
}

auto summary_of(const configuration_edit& edit) -> std::string
{
    return std::visit(edit_summariser{}, edit);
}

} // namespace briardrum
