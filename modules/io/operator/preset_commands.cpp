#include "config/text/entity_text.hpp"
#include "io/operator/change_command.hpp"
#include "io/operator/command_files.hpp"
#include "io/operator/command_output.hpp"
#include "io/operator/operator_command.hpp"
#include "io/operator/store_session.hpp"

#include <memory>
#include <optional>
#include <sodium.h>

namespace briardrum
{

namespace
{

// What the command line said about a preset and one service in it.
struct preset_arguments
{
    std::string name;
    std::string copy_of;
    std::string file;
    std::string service_name;
    std::vector<std::string> drop;
    std::optional<std::string> level;
    std::optional<std::uint64_t> share_percent;
    std::optional<std::uint64_t> queue_limit;
    std::optional<std::uint64_t> default_deadline_ms;
    std::optional<std::uint64_t> objective_ppm;
    std::optional<std::uint64_t> objective_latency_ms;
    std::optional<std::uint64_t> retry_percent;
    bool names = false;
};

// The fields that were named, as a file would have them.
auto to_object(const preset_arguments& from) -> nlohmann::json
{
    auto out = nlohmann::json::object();
    const auto put = [&](const char* name, const auto& value)
    {
        if (value.has_value())
        {
            out[name] = *value;
        }
    };
    put("urgency", from.level);
    put("share_percent", from.share_percent);
    put("queue_limit", from.queue_limit);
    put("default_deadline_ms", from.default_deadline_ms);
    put("objective_ppm", from.objective_ppm);
    put("objective_latency_ms", from.objective_latency_ms);
    put("retry_percent", from.retry_percent);
    return out;
}

auto edit_by_flags(const operator_options& options,
                   const preset_arguments& from) -> absl::Status
{
    edit_preset edit{from.name, {}, from.drop};
    const auto object = to_object(from);
    if (!object.empty() && from.service_name.empty())
    {
        return make_error(error_kind::invalid_argument,
                          "--service is missing: which service do the other "
                          "flags describe?");
    }
    if (!from.service_name.empty())
    {
        problem_list problems;
        edit.set[from.service_name] = read_policy_fields(
            object, from.name + "." + from.service_name, problems);
        if (!problems.empty())
        {
            return problems.status();
        }
    }
    if (edit.set.empty() && edit.unset.empty())
    {
        return make_error(error_kind::invalid_argument,
                          "nothing to edit: give --file, --service or --drop");
    }
    return make_change(options, edit);
}

auto edit(const operator_options& options, const preset_arguments& from)
    -> absl::Status
{
    if (from.file.empty())
    {
        return edit_by_flags(options, from);
    }
    const auto policies = read_preset_file(from.file);
    return policies.ok()
               ? make_change(options, replace_preset{from.name, *policies})
               : policies.status();
}

auto create(const operator_options& options, const preset_arguments& from)
    -> absl::Status
{
    create_preset edit{from.name, from.copy_of, {}};
    if (!from.file.empty())
    {
        const auto policies = read_preset_file(from.file);
        if (!policies.ok())
        {
            return policies.status();
        }
        edit.policies = *policies;
    }
    return make_change(options, edit);
}

auto policies_json(const preset& item) -> nlohmann::ordered_json
{
    auto out = nlohmann::ordered_json::object();
    for (const auto& [name, policy] : item.policies)
    {
        out[name] = to_json(policy);
    }
    return out;
}

auto show_one(const operator_options& options, const preset& item) -> void
{
    if (options.json)
    {
        print_json(policies_json(item));
        return;
    }
    std::vector<std::vector<std::string>> rows = {{"SERVICE"}};
    for (const auto& [name, value] : fields_of(service_policy{}))
    {
        rows.front().push_back(name);
    }
    for (const auto& [name, policy] : item.policies)
    {
        auto& row = rows.emplace_back();
        row.push_back(name);
        for (const auto& [field, value] : fields_of(policy))
        {
            row.push_back(value);
        }
    }
    print_table(rows);
}

auto show_all(const operator_options& options, const configuration& value)
    -> void
{
    if (options.json)
    {
        nlohmann::ordered_json out;
        out["in_force"] = value.in_force;
        out["presets"] = nlohmann::ordered_json::object();
        for (const auto& [name, item] : value.presets)
        {
            out["presets"][name] = policies_json(item);
        }
        print_json(out);
        return;
    }
    std::vector<std::vector<std::string>> rows = {
        {"PRESET", "IN FORCE", "SERVICES"}};
    for (const auto& [name, item] : value.presets)
    {
        rows.push_back({name, name == value.in_force ? "yes" : "",
                        std::to_string(item.policies.size())});
    }
    print_table(rows);
}

auto show(const operator_options& options, const preset_arguments& from)
    -> absl::Status
{
    store_session session(options);
    const auto loaded = session.load();
    if (!loaded.ok())
    {
        return loaded.status();
    }
    const auto value =
        loaded->value == nullptr ? configuration{} : *loaded->value;
    if (from.names)
    {
        for (const auto& [name, item] : value.presets)
        {
            print_line(name);
        }
        return absl::OkStatus();
    }
    if (from.name.empty())
    {
        show_all(options, value);
        return absl::OkStatus();
    }
    const auto it = value.presets.find(from.name);
    if (it == value.presets.end())
    {
        return make_error(error_kind::not_found,
                          "there is no preset " + from.name);
    }
    show_one(options, it->second);
    return absl::OkStatus();
}

auto add_file(CLI::App& app, preset_arguments& out) -> void
{
    app.add_option("--file", out.file,
                   "Read all its policies from JSON with comments")
        ->type_name("FILE");
}

auto add_policy_flags(CLI::App& app, preset_arguments& out) -> void
{
    app.add_option("--service", out.service_name,
                   "The service that the following flags describe");
    app.add_option("--share-percent", out.share_percent,
                   "Guaranteed part of a balancer's forwarding");
    app.add_option("--urgency", out.level, "urgent, normal or bulk");
    app.add_option("--queue-limit", out.queue_limit,
                   "Requests waiting at one agent");
    app.add_option("--default-deadline-ms", out.default_deadline_ms,
                   "Deadline of a request that names none");
    app.add_option("--objective-ppm", out.objective_ppm,
                   "Requests answered in time, per million");
    app.add_option("--objective-latency-ms", out.objective_latency_ms,
                   "An answer later than this counts as bad");
    app.add_option("--retry-percent", out.retry_percent,
                   "Retries, as percent of recent requests");
    app.add_option("--drop", out.drop,
                   "Take a service's policy out; may be repeated");
}

// A subcommand with a preset's name that makes a change.
template <typename Run>
auto add_change(CLI::App& parent, const char* name, const char* description,
                operator_options& options, command_list& out, Run run)
    -> std::pair<CLI::App*, std::shared_ptr<preset_arguments>>
{
    auto* app = parent.add_subcommand(name, description);
    const auto from = std::make_shared<preset_arguments>();
    app->add_option("NAME", from->name, "The preset")->required();
    app->add_flag("--dry-run", options.dry_run,
                  "Print the difference and write nothing");
    out.push_back({app, [&options, from, run]
                   {
                       return run(options, *from);
                   }});
    return {app, from};
}

auto remove(const operator_options& options, const preset_arguments& from)
    -> absl::Status
{
    return make_change(options, remove_preset{from.name});
}

auto use(const operator_options& options, const preset_arguments& from)
    -> absl::Status
{
    return make_change(options, use_preset{from.name});
}

auto rotate_key(const operator_options& options) -> absl::Status
{
    rotate_cookie_key edit;
    randombytes_buf(edit.secret.data(), edit.secret.size());
    return make_change(options, edit);
}

} // namespace

auto add_preset_commands(CLI::App& app, operator_options& options,
                         command_list& out) -> void
{
    auto* parent =
        app.add_subcommand("preset", "Presets: how each service is treated");
    parent->require_subcommand(1);
    const auto [create_app, created] =
        add_change(*parent, "create", "Create a preset", options, out, create);
    create_app->add_option("--copy", created->copy_of,
                           "Start with the policies of this preset");
    add_file(*create_app, *created);
    const auto [edit_app, edited] =
        add_change(*parent, "edit", "Change a preset", options, out, edit);
    add_file(*edit_app, *edited);
    add_policy_flags(*edit_app, *edited);
    add_change(*parent, "remove", "Remove a preset", options, out, remove);

    const auto shown = std::make_shared<preset_arguments>();
    auto* show_app = parent->add_subcommand("show", "Show one or all presets");
    show_app->add_option("NAME", shown->name, "The preset; all without it");
    show_app->add_flag("--names", shown->names, "Names only, one a line");
    out.push_back({show_app, [&options, shown]
                   {
                       return show(options, *shown);
                   }});

    add_change(app, "use", "Put a preset in force", options, out, use);
    auto* rotate = app.add_subcommand(
        "rotate-key", "Sign new cookies with a new key; the last one verifies");
    rotate->add_flag("--dry-run", options.dry_run,
                     "Print the difference and write nothing");
    out.push_back({rotate, [&options]
                   {
                       return rotate_key(options);
                   }});
}

} // namespace briardrum
