#ifndef BRIARDRUM_STAND_INS_SHARED_COMMAND_LINE_HPP
#define BRIARDRUM_STAND_INS_SHARED_COMMAND_LINE_HPP

#include "core/core.hpp"

#include <CLI/CLI.hpp>
#include <string>

namespace briardrum
{

// Adds an option that takes an address like 127.0.0.1:5683.
auto add_endpoint(CLI::App& app, const std::string& name, endpoint& value,
                  const std::string& help) -> CLI::Option*;

// The same, repeatable.
auto add_endpoints(CLI::App& app, const std::string& name,
                   std::vector<endpoint>& values, const std::string& help)
    -> CLI::Option*;

// Adds an option that takes a number of milliseconds, 0 or more.
auto add_millis(CLI::App& app, const std::string& name, millis& value,
                const std::string& help) -> CLI::Option*;

} // namespace briardrum

#endif
