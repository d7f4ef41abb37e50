#ifndef BRIARDRUM_IO_OPERATOR_OPERATOR_OPTIONS_HPP
#define BRIARDRUM_IO_OPERATOR_OPERATOR_OPTIONS_HPP

#include "core/core.hpp"

#include <absl/status/status.h>
#include <string>
#include <vector>

namespace CLI
{
class App;
}

namespace briardrum
{

// What every operator command is told: by flags, and otherwise by a settings
// file in JSON with comments:
//
//     {
//         "name": "anna",
//         "store": {"endpoint": "127.0.0.1:2379", "root": "/briardrum"},
//         "daemons": ["127.0.0.1:9101", "127.0.0.1:9102"]
//     }
struct operator_options
{
    std::string settings_file;
    // Who makes the changes, for the history.
    std::string name;
    std::vector<endpoint> store_addresses;
    std::string store_root = "/briardrum";
    // HTTP addresses of daemons that status asks.
    std::vector<endpoint> daemons;
    // How long to wait for the store altogether.
    millis patience = seconds(15);
    bool json = false;
    bool dry_run = false;

    // As they stand on the command line.
    std::string store_text;
    std::vector<std::string> daemon_texts;
    std::uint32_t patience_seconds = 15;
};

// Adds the options that all commands have.
auto add_operator_options(CLI::App& app, operator_options& out) -> void;

// Reads the settings file and puts the flags above it. All problems are told
// at once.
auto finish_operator_options(operator_options& out) -> absl::Status;

} // namespace briardrum

#endif
