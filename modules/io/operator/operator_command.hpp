#ifndef BRIARDRUM_IO_OPERATOR_OPERATOR_COMMAND_HPP
#define BRIARDRUM_IO_OPERATOR_OPERATOR_COMMAND_HPP

#include "io/operator/operator_options.hpp"

#include <CLI/CLI.hpp>
#include <functional>
#include <vector>

namespace briardrum
{

// A command of the operators' program: run() is called when its app was
// named on the command line, and gives the error to report and end with.
struct operator_command
{
    CLI::App* app = nullptr;
    std::function<absl::Status()> run;
};

using command_list = std::vector<operator_command>;

// Each adds its commands; options outlive them.
auto add_service_commands(CLI::App& app, operator_options& options,
                          command_list& out) -> void;
auto add_preset_commands(CLI::App& app, operator_options& options,
                         command_list& out) -> void;
auto add_status_commands(CLI::App& app, operator_options& options,
                         command_list& out) -> void;
auto add_completion_command(CLI::App& app, command_list& out) -> void;

// Runs the operators' program; gives its exit code.
auto run_operator(int argc, const char* const* argv) -> int;

} // namespace briardrum

#endif
