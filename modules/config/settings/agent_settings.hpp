#ifndef BRIARDRUM_CONFIG_SETTINGS_AGENT_SETTINGS_HPP
#define BRIARDRUM_CONFIG_SETTINGS_AGENT_SETTINGS_HPP

#include "config/settings/process_settings.hpp"

#include <absl/status/statusor.h>

namespace briardrum
{

// What an agent is told at start.
struct agent_settings
{
    process_settings process;
    // CoAP address of its backend server.
    endpoint server;
    // The service that the backend server must announce.
    std::string service;
    // Requests that the server runs at once; 0 takes what it announces.
    std::uint32_t slots = 0;
};

// Reads and checks settings; the error names every fault. source stands in
// the messages.
auto parse_agent_settings(std::string_view text, const std::string& source)
    -> absl::StatusOr<agent_settings>;

auto load_agent_settings(const std::string& file)
    -> absl::StatusOr<agent_settings>;

} // namespace briardrum

#endif
