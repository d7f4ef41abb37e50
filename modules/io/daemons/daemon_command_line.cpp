#include "io/daemons/daemon_command_line.hpp"

#include "io/daemons/exit_codes.hpp"

#include <CLI/CLI.hpp>

namespace briardrum
{

namespace
{

constexpr const char* footer =
    R"(Settings are JSON with comments; examples/ has a whole deployment.
--check names every fault of the files in one run.

Signals: SIGTERM or SIGINT stops gracefully, within stop_bound_ms of the
settings; a second one ends the process at once.

Exit codes:
   0  stopped gracefully, or the files are good
   3  ended at once by a second signal
  64  the command line is wrong
  65  a settings or configuration file is wrong
  69  an address cannot be had)";

} // namespace

auto parse_daemon_options(const daemon_program& program, int argc,
                          const char* const* argv) -> daemon_options
{
    daemon_options out;
    CLI::App app(program.description, program.name);
    app.footer(footer);
    app.add_option("-s,--settings", out.settings_file,
                   "Settings of this process (JSON with comments)")
        ->required()
        ->type_name("FILE");
    app.add_option("--configuration", out.configuration_file,
                   "Services and presets to start with, where no store is set")
        ->type_name("FILE");
    app.add_flag("--check", out.check_only,
                 "Check the files, print every fault, and end");
    app.set_version_flag("--version", program.name + " " + BRIARDRUM_VERSION);
    try
    {
        app.parse(argc, argv);
    }
    catch (const CLI::ParseError& ec)
    {
        out.exit_code = app.exit(ec) == 0 ? exit_stopped : exit_usage;
    }
    return out;
}

} // namespace briardrum
