#ifndef BRIARDRUM_IO_DAEMONS_DAEMON_COMMAND_LINE_HPP
#define BRIARDRUM_IO_DAEMONS_DAEMON_COMMAND_LINE_HPP

#include <optional>
#include <string>

namespace briardrum
{

// How a daemon's program presents itself.
struct daemon_program
{
    std::string name;
    std::string description;
};

// What the command line asks for.
struct daemon_options
{
    std::string settings_file;
    // A configuration to start with where there is no store; may be empty.
    std::string configuration_file;
    // Check the files and end.
    bool check_only = false;
    // Set when there is nothing to run: the exit code.
    std::optional<int> exit_code;
};

// Reads the command line; prints help, version or what is wrong with it.
auto parse_daemon_options(const daemon_program& program, int argc,
                          const char* const* argv) -> daemon_options;

} // namespace briardrum

#endif
