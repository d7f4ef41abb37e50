#include "io/operator/operator_command.hpp"

#include "io/operator/command_output.hpp"
#include "io/operator/report_command.hpp"

#include <algorithm>
#include <cstdio>
#include <iostream>

namespace briardrum
{

namespace
{

constexpr int exit_usage = 64;

constexpr const char* footer =
    R"(Every change is checked whole and written at once, or not at all.

Exit codes:
   0  done
  64  the command line is wrong
  65  the change is not allowed, or a file is wrong
  66  there is no such service, preset or file
  69  the store does not answer; nothing was written
  75  another change came first; nothing was written
  76  not known yet: ask again with `briardrum status --change ID`)";

// Runs the command that was named.
auto run(operator_options& options, const command_list& commands)
    -> absl::Status
{
    auto status = finish_operator_options(options);
    if (!status.ok())
    {
        return status;
    }
    const auto it = std::find_if(commands.begin(), commands.end(),
                                 [](const operator_command& item)
                                 {
                                     return item.app->parsed();
                                 });
    // A command was added to the parser and not to the list.
    BRIARDRUM_INVARIANT(it != commands.end());
    return it->run();
}

auto report(const operator_options& options, const absl::Status& status) -> int
{
    const auto& answer = error_mapping_for(error_kind_of(status));
    if (status.ok())
    {
        return answer.exit_code;
    }
    const std::string message(status.message());
    const std::string name(answer.name);
    // What the outcome is stands on standard output already in these cases.
    const auto is_told = answer.kind == error_kind::conflict ||
                         answer.kind == error_kind::unknown_outcome;
    if (options.json && !is_told)
    {
        nlohmann::ordered_json out;
        out["outcome"] = "error";
        out["error"] = name;
        out["message"] = message;
        print_json(out);
    }
    std::fprintf(stderr, "briardrum: %s\n", message.c_str());
    return answer.exit_code;
}

} // namespace

auto run_operator(int argc, const char* const* argv) -> int
{
    operator_options options;
    command_list commands;
    CLI::App app("Operators' command of briardrum.", "briardrum");
    app.footer(footer);
    app.set_version_flag("--version", "briardrum " BRIARDRUM_VERSION);
    app.require_subcommand(1);
    // Options of all commands may stand behind the command as well.
    app.fallthrough();
    add_operator_options(app, options);
    add_service_commands(app, options, commands);
    add_preset_commands(app, options, commands);
    add_status_commands(app, options, commands);
    add_completion_command(app, commands);
    report_command page(app);
    try
    {
        app.parse(argc, argv);
    }
    catch (const CLI::ParseError& ec)
    {
        return app.exit(ec) == 0 ? 0 : exit_usage;
    }
    if (page.parsed())
    {
        return page.run(clock::wall(), std::cout, std::cerr);
    }
    return report(options, run(options, commands));
}

} // namespace briardrum
