#ifndef BRIARDRUM_CONFIG_SETTINGS_AGENT_SETTINGS_HPP
#define BRIARDRUM_CONFIG_SETTINGS_AGENT_SETTINGS_HPP

#include "config/settings/process_settings.hpp"

#include <absl/status/statusor.h>

namespace briardrum
{

// Settings that an agent reads at start.
struct agent_settings
{
    process_settings process;
    // CoAP address of the agent's backend server.
    endpoint server;
    // Name of the service that the backend server must announce.
    std::string service;
    // Number of requests that the server handles concurrently; 0 means the
    // number that it announces.
    std::uint32_t slots = 0;
};

// Parses and validates settings. On failure the error has one line for each
// problem, prefixed with source.
auto parse_agent_settings(std::string_view text, const std::string& source)
    -> absl::StatusOr<agent_settings>;

// Like parse_agent_settings() for the content of a file; the path is the
// source.
auto load_agent_settings(const std::string& file)
    -> absl::StatusOr<agent_settings>;

} // namespace briardrum

#endif
