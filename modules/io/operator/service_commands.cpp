#include "config/text/entity_text.hpp"
#include "io/operator/change_command.hpp"
#include "io/operator/command_files.hpp"
#include "io/operator/command_output.hpp"
#include "io/operator/operator_command.hpp"
#include "io/operator/store_session.hpp"

#include <memory>

namespace briardrum
{

namespace
{

// What the command line said about a service.
struct service_arguments
{
    std::string name;
    std::string address;
    std::vector<std::string> repeatable;
    std::string file;
    bool names = false;
};

auto read_fields(const service_arguments& from)
    -> absl::StatusOr<service_fields>
{
    service_fields out;
    if (!from.file.empty())
    {
        auto read = read_service_file(from.file);
        if (!read.ok())
        {
            return read;
        }
        out = *read;
    }
    // Read like a file, so that both ways give the same errors.
    nlohmann::json object = {
        {"address", from.address.empty() ? "0.0.0.0:1" : from.address}};
    if (!from.repeatable.empty())
    {
        object["repeatable"] = from.repeatable;
    }
    problem_list problems;
    const auto value = read_service(object, from.name, problems);
    if (!problems.empty())
    {
        return problems.status();
    }
    if (!from.address.empty())
    {
        out.address = value.address;
    }
    if (!from.repeatable.empty())
    {
        out.repeatable = value.repeatable;
    }
    return out;
}

auto add_fields(CLI::App& app, service_arguments& out) -> void
{
    app.add_option("--address", out.address, "Where callers reach it")
        ->type_name("ADDRESS:PORT");
    app.add_option("--repeatable", out.repeatable,
                   "Methods that may be run more than once, by comma")
        ->delimiter(',');
    app.add_option("--file", out.file, "Read it from JSON with comments")
        ->type_name("FILE");
}

auto show_one(const operator_options& options, const service& item) -> void
{
    if (options.json)
    {
        auto out = to_json(item);
        out["name"] = item.name;
        out["repeatable"] = methods_to_string(item.repeatable);
        print_json(out);
        return;
    }
    print_line("service " + item.name);
    for (const auto& [name, value] : fields_of(item))
    {
        auto line = "  " + name;
        line += ": ";
        line += value;
        print_line(line);
    }
}

auto show_all(const operator_options& options, const configuration& value)
    -> void
{
    if (options.json)
    {
        auto out = nlohmann::ordered_json::object();
        for (const auto& [name, item] : value.services)
        {
            out[name] = to_json(item);
        }
        print_json(out);
        return;
    }
    std::vector<std::vector<std::string>> rows = {
        {"SERVICE", "ADDRESS", "ID", "REPEATABLE"}};
    for (const auto& [name, item] : value.services)
    {
        rows.push_back({name, to_string(item.address), std::to_string(item.id),
                        methods_to_string(item.repeatable)});
    }
    print_table(rows);
}

auto show(const operator_options& options, const service_arguments& from)
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
        for (const auto& [name, item] : value.services)
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
    const auto* found = value.find(from.name);
    if (found == nullptr)
    {
        return make_error(error_kind::not_found,
                          "there is no service " + from.name);
    }
    show_one(options, *found);
    return absl::OkStatus();
}

auto add_dry_run(CLI::App& app, operator_options& options) -> void
{
    app.add_flag("--dry-run", options.dry_run,
                 "Print the difference and write nothing");
}

template <typename Edit>
auto add_edit(CLI::App& parent, const char* name, const char* description,
              operator_options& options, command_list& out) -> void
{
    auto* app = parent.add_subcommand(name, description);
    const auto from = std::make_shared<service_arguments>();
    app->add_option("NAME", from->name, "The service")->required();
    add_fields(*app, *from);
    add_dry_run(*app, options);
    out.push_back({app,
                   [&options, from]() -> absl::Status
                   {
                       const auto fields = read_fields(*from);
                       return fields.ok()
                                  ? make_change(options,
                                                Edit{from->name, *fields})
                                  : fields.status();
                   }});
}

} // namespace

auto add_service_commands(CLI::App& app, operator_options& options,
                          command_list& out) -> void
{
    auto* parent =
        app.add_subcommand("service", "Services and their addresses");
    parent->require_subcommand(1);
    add_edit<create_service>(*parent, "create", "Create a service", options,
                             out);
    add_edit<edit_service>(*parent, "edit", "Change a service", options, out);

    const auto from = std::make_shared<service_arguments>();
    auto* remove = parent->add_subcommand("remove", "Remove a service");
    remove->add_option("NAME", from->name, "The service")->required();
    add_dry_run(*remove, options);
    out.push_back({remove, [&options, from]
                   {
                       return make_change(options, remove_service{from->name});
                   }});

    const auto shown = std::make_shared<service_arguments>();
    auto* show_app = parent->add_subcommand("show", "Show one or all services");
    show_app->add_option("NAME", shown->name, "The service; all without it");
    show_app->add_flag("--names", shown->names, "Names only, one a line");
    out.push_back({show_app, [&options, shown]
                   {
                       return show(options, *shown);
                   }});
}

} // namespace briardrum
