#ifndef BRIARDRUM_IO_DAEMONS_DAEMON_MAIN_HPP
#define BRIARDRUM_IO_DAEMONS_DAEMON_MAIN_HPP

#include "io/daemons/daemon_command_line.hpp"
#include "io/daemons/daemon_files.hpp"
#include "io/daemons/exit_codes.hpp"

#include <cstdio>

namespace briardrum
{

// Prints why a daemon cannot run; gives its exit code.
inline auto report_failure(const absl::Status& why) -> int
{
    const auto text = std::string(why.message());
    std::fprintf(stderr, "%s\n", text.c_str());
    return exit_code_of(why);
}

// The whole main() of a daemon: reads the command line, checks every file,
// then starts and runs. load reads the settings file.
template <typename Daemon, typename Load>
auto run_daemon(const daemon_program& program, Load load, int argc, char** argv)
    -> int
{
    const auto options = parse_daemon_options(program, argc, argv);
    if (options.exit_code.has_value())
    {
        return *options.exit_code;
    }
    const auto settings = load(options.settings_file);
    absl::StatusOr<std::shared_ptr<const configuration>> decided = nullptr;
    if (!options.configuration_file.empty())
    {
        decided = load_configuration(options.configuration_file);
    }
    auto code = exit_stopped;
    if (!settings.ok())
    {
        code = report_failure(settings.status());
    }
    if (!decided.ok())
    {
        code = report_failure(decided.status());
    }
    if (code != exit_stopped || options.check_only)
    {
        return code;
    }
    Daemon daemon(*settings);
    const auto started = daemon.start();
    if (!started.ok())
    {
        return report_failure(started);
    }
    if (*decided != nullptr)
    {
        daemon.adopt(*decided);
    }
    return daemon.run();
}

} // namespace briardrum

#endif
