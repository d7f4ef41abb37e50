#ifndef BRIARDRUM_CONFIG_SETTINGS_HEDGING_SETTINGS_HPP
#define BRIARDRUM_CONFIG_SETTINGS_HEDGING_SETTINGS_HPP

#include "core/core.hpp"

#include <absl/status/statusor.h>
#include <string>
#include <string_view>

namespace briardrum
{

// Settings for extra opening packets to a second server.
struct hedging_settings
{
    bool enabled = false;
    // An opening is slow when it takes longer than this percentile of the
    // service's recent openings, from 50 to 99.9.
    double percentile = 95;
    // Extra opening packets as a share of the service's openings, 0 to 0.2.
    double share = 0.02;
    // Extra opening packets that may be saved up for a burst, 1 to 1000.
    std::uint32_t cap = 10;
    // Minimum delay of an extra opening packet, 5 to 400 ms.
    millis floor = milliseconds(30);

    auto operator==(const hedging_settings&) const -> bool = default;
};

// Parses and validates settings, JSON with comments. On failure the error has
// one line for each problem, prefixed with source.
auto parse_hedging_settings(std::string_view text, const std::string& source)
    -> absl::StatusOr<hedging_settings>;

// Like parse_hedging_settings() for the content of a file; the path is the
// source.
auto load_hedging_settings(const std::string& file)
    -> absl::StatusOr<hedging_settings>;

} // namespace briardrum

#endif
