#include "io/operator/command_output.hpp"
#include "io/operator/daemon_versions.hpp"
#include "io/operator/operator_command.hpp"
#include "io/operator/store_session.hpp"

#include <memory>

namespace briardrum
{

namespace
{

constexpr std::size_t history_shown = 20;
constexpr std::size_t history_shown_max = 1000;

auto state_of(const daemon_version& item, const configuration* stored)
    -> std::string
{
    if (!item.version.has_value())
    {
        return "no answer";
    }
    if (stored == nullptr)
    {
        return "store not known";
    }
    if (*item.version == 0)
    {
        return "holds nothing";
    }
    return *item.version < stored->version ? "lags" : "in force";
}

auto version_text(const daemon_version& item) -> std::string
{
    return item.version.has_value() ? std::to_string(*item.version) : "-";
}

auto print_status_json(const configuration* stored, const std::string& problem,
                       const std::vector<daemon_version>& daemons) -> void
{
    nlohmann::ordered_json out;
    out["store"] = problem.empty() ? "answers" : problem;
    if (stored != nullptr)
    {
        out["version"] = stored->version;
        out["in_force"] = stored->in_force;
        out["change_id"] = stored->change_id;
        out["changed_by"] = stored->changed_by;
        out["changed_at"] = to_utc(stored->changed_at);
    }
    out["daemons"] = nlohmann::ordered_json::array();
    for (const auto& item : daemons)
    {
        nlohmann::ordered_json row;
        row["address"] = to_string(item.address);
        row["version"] = item.version.has_value()
                             ? nlohmann::ordered_json(*item.version)
                             : nlohmann::ordered_json();
        row["state"] = state_of(item, stored);
        out["daemons"].push_back(row);
    }
    print_json(out);
}

auto print_status(const configuration* stored, const std::string& problem,
                  const std::vector<daemon_version>& daemons) -> void
{
    if (stored != nullptr)
    {
        print_line("version " + std::to_string(stored->version) + ", preset " +
                   stored->in_force + " in force, changed by " +
                   stored->changed_by + " at " + to_utc(stored->changed_at) +
                   " (" + stored->change_id + ")");
    }
    else
    {
        print_line(problem.empty() ? "the store holds no configuration yet"
                                   : problem);
    }
    if (daemons.empty())
    {
        print_line("no daemons asked: name them by --daemon or in your "
                   "settings");
        return;
    }
    std::vector<std::vector<std::string>> rows = {
        {"DAEMON", "VERSION", "STATE"}};
    for (const auto& item : daemons)
    {
        rows.push_back({to_string(item.address), version_text(item),
                        state_of(item, stored)});
    }
    print_table(rows);
}

auto show_status(const operator_options& options) -> absl::Status
{
    store_session session(options);
    const auto loaded = session.load();
    const auto* stored = loaded.ok() ? loaded->value.get() : nullptr;
    const auto problem =
        loaded.ok() ? "" : std::string(loaded.status().message());
    const auto daemons = ask_daemon_versions(options.daemons);
    if (options.json)
    {
        print_status_json(stored, problem, daemons);
    }
    else
    {
        print_status(stored, problem, daemons);
    }
    return loaded.status();
}

auto describe(const change_status& found, const std::string& change_id)
    -> std::string
{
    switch (found.state)
    {
    case change_state::accepted:
        return "accepted: change " + change_id + " is version " +
               std::to_string(found.entry->version) + ", \"" +
               found.entry->summary + "\"";
    case change_state::refused:
        return "refused: change " + change_id + " never takes effect" +
               (found.entry.has_value()
                    ? "; " + found.entry->changed_by + " came first by \"" +
                          found.entry->summary + "\""
                    : "");
    case change_state::pending:
        return "not known yet: change " + change_id +
               " is not in the store, and may still get there";
    case change_state::forgotten:
        break;
    }
    return "not known any more: change " + change_id +
           " is older than the history that is kept";
}

auto show_change(const operator_options& options, const std::string& change_id)
    -> absl::Status
{
    if (version_of_change_id(change_id) == 0)
    {
        return make_error(error_kind::invalid_argument,
                          "\"" + change_id +
                              "\" is no change id like 12-0a1b2c3d4e5f");
    }
    store_session session(options);
    const auto found = session.look_up(change_id);
    if (!found.ok())
    {
        return found.status();
    }
    if (options.json)
    {
        nlohmann::ordered_json out;
        out["change_id"] = change_id;
        out["outcome"] = to_string(found->state);
        out["entry"] = found->entry.has_value() ? to_json(*found->entry)
                                                : nlohmann::ordered_json();
        print_json(out);
    }
    else
    {
        print_line(describe(*found, change_id));
    }
    switch (found->state)
    {
    case change_state::accepted:
        return absl::OkStatus();
    case change_state::refused:
        return make_error(error_kind::conflict, "refused");
    default:
        return make_error(error_kind::unknown_outcome, "not known");
    }
}

auto show_history(const operator_options& options, std::size_t count)
    -> absl::Status
{
    store_session session(options);
    const auto entries = session.history(count);
    if (!entries.ok())
    {
        return entries.status();
    }
    if (options.json)
    {
        auto out = nlohmann::ordered_json::array();
        for (const auto& entry : *entries)
        {
            out.push_back(to_json(entry));
        }
        print_json(out);
        return absl::OkStatus();
    }
    for (const auto& entry : *entries)
    {
        print_lines(std::to_string(entry.version) + "  " +
                        to_utc(entry.changed_at) + "  " + entry.changed_by +
                        "  " + entry.summary + "  (" + entry.change_id + ")",
                    entry.difference);
    }
    return absl::OkStatus();
}

} // namespace

auto add_status_commands(CLI::App& app, operator_options& options,
                         command_list& out) -> void
{
    auto* status = app.add_subcommand(
        "status", "The version in the store, and which daemons lag");
    const auto change_id = std::make_shared<std::string>();
    status->add_option("--change", *change_id, "What became of this change")
        ->type_name("ID");
    out.push_back({status, [&options, change_id]
                   {
                       return change_id->empty()
                                  ? show_status(options)
                                  : show_change(options, *change_id);
                   }});

    auto* history = app.add_subcommand("history", "Who changed what, and when");
    const auto count = std::make_shared<std::size_t>(history_shown);
    history->add_option("--last", *count, "How many changes")
        ->check(CLI::Range(std::size_t{1}, history_shown_max));
    out.push_back({history, [&options, count]
                   {
                       return show_history(options, *count);
                   }});
}

} // namespace briardrum
