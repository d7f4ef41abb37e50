#ifndef BRIARDRUM_CONFIG_SETTINGS_PROCESS_SETTINGS_HPP
#define BRIARDRUM_CONFIG_SETTINGS_PROCESS_SETTINGS_HPP

#include "config/settings/json_checker.hpp"
#include "core/core.hpp"

#include <optional>
#include <string>
#include <vector>

namespace briardrum
{

// Where the platform's key-value store is.
struct store_settings
{
    endpoint address;
    // Everything of one fleet lies under this key.
    std::string root;
};

// What balancer and agent are both told at start.
struct process_settings
{
    // Unique in the fleet; the member id is made from it.
    std::string name;
    std::string data_centre;
    // Own addresses: envelopes (UDP), control (TCP), metrics (HTTP).
    endpoint data;
    endpoint control;
    endpoint http;
    // Control addresses of a few members; the own one is passed over.
    std::vector<endpoint> start_addresses;
    std::optional<store_settings> store;
    event_level log_level = event_level::info;
    // How long a graceful stop may take.
    millis stop_bound = seconds(10);
};

// Reads the common fields.
auto read_process_settings(json_checker& from, json_problems& problems)
    -> process_settings;

// One of a process's own addresses, with its field.
struct named_address
{
    std::string_view field;
    endpoint address;
};

// Notes own addresses that stand twice.
auto check_unique_addresses(json_checker& from,
                            std::span<const named_address> addresses) -> void;

// The text of a file; notes a problem and gives nothing when it cannot be
// read.
auto read_file(const std::string& file, json_problems& problems)
    -> std::optional<std::string>;

} // namespace briardrum

#endif
