#ifndef BRIARDRUM_CONFIG_SETTINGS_PROCESS_SETTINGS_HPP
#define BRIARDRUM_CONFIG_SETTINGS_PROCESS_SETTINGS_HPP

#include "config/settings/json_checker.hpp"
#include "core/core.hpp"

#include <optional>
#include <string>
#include <vector>

namespace briardrum
{

// Location of the fleet's data in the platform's key-value store.
struct store_settings
{
    endpoint address;
    // Key prefix of all data of one fleet.
    std::string root;
};

// Settings common to balancers and agents.
struct process_settings
{
    // Unique in the fleet; the member id is derived from it.
    std::string name;
    std::string data_centre;
    // Local addresses for envelopes (UDP), control messages (TCP) and metrics
    // (HTTP).
    endpoint data;
    endpoint control;
    endpoint http;
    // Control addresses of some members, used to join the fleet. The address
    // of this process is ignored.
    std::vector<endpoint> start_addresses;
    std::optional<store_settings> store;
    event_level log_level = event_level::info;
    // Maximum duration of a graceful shutdown.
    millis stop_bound = seconds(10);
};

// Reads the common fields from the object that from checks; the caller reads
// the remaining fields and calls finish().
auto read_process_settings(json_checker& from, json_problems& problems)
    -> process_settings;

// A local address of a process and the settings field that it was read from.
struct named_address
{
    std::string_view field;
    endpoint address;
};

// Reports a problem for each address that repeats an earlier one.
auto check_unique_addresses(json_checker& from,
                            std::span<const named_address> addresses) -> void;

// Returns the content of a file, or reports a problem and returns nullopt if it
// cannot be read.
auto read_file(const std::string& file, json_problems& problems)
    -> std::optional<std::string>;

} // namespace briardrum

#endif
