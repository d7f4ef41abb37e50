#ifndef BRIARDRUM_NODE_STORE_STORE_LAYOUT_HPP
#define BRIARDRUM_NODE_STORE_STORE_LAYOUT_HPP

#include "config/config.hpp"
#include "core/core.hpp"
#include "node/store/store.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briardrum
{

// Number of history entries kept, enough for one day at the highest planned
// rate of changes. The entry of version n is in slot n % history_slots.
constexpr configuration_version history_slots = 20'000;

// The keys of the configuration and its history in the store:
//
//     PREFIX/configuration/KEY    the values of configuration_values.hpp
//     PREFIX/changes/SLOT         the history entry of a version
//
// A change id is "VERSION-RANDOM", so the history slot that shows the outcome
// of a change can be derived from its id.
struct store_layout
{
    std::string prefix = "/briardrum";

    auto configuration_prefix() const -> std::string;
    auto key_of(std::string_view configuration_key) const -> std::string;
    auto history_key(configuration_version version) const -> std::string;
};

// A history entry: who made a change, when, and what it changed.
struct history_entry
{
    configuration_version version = 0;
    std::string change_id;
    std::string changed_by;
    millis changed_at;
    std::string summary;
    // The difference as human-readable lines.
    std::vector<std::string> difference;
};

auto write_history_entry(const history_entry& entry) -> std::string;

// Returns nullopt when the text is not a valid entry.
auto read_history_entry(std::string_view text) -> std::optional<history_entry>;

// Creates the id of the change that produces this version.
auto make_change_id(configuration_version version, std::uint64_t random)
    -> std::string;

// Returns the version in a change id, or 0 when the text is not a change id.
auto version_of_change_id(std::string_view change_id) -> configuration_version;

} // namespace briardrum

#endif
