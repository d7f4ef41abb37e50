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

// Entries of the history that are kept: a day of the most changes that we
// plan for. The change of version n is in slot n modulo this.
constexpr configuration_version history_slots = 20'000;

// Where the configuration and its history stand in the store:
//
//     PREFIX/configuration/KEY    the values of configuration_values.hpp
//     PREFIX/changes/SLOT         who changed what, by version
//
// A change id is "VERSION-RANDOM", so the slot that tells its outcome is
// known from the id alone.
struct store_layout
{
    std::string prefix = "/briardrum";

    auto configuration_prefix() const -> std::string;
    auto key_of(std::string_view configuration_key) const -> std::string;
    auto history_key(configuration_version version) const -> std::string;
};

// One entry of the history.
struct history_entry
{
    configuration_version version = 0;
    std::string change_id;
    std::string changed_by;
    millis changed_at;
    std::string summary;
    // The difference, as lines for a person.
    std::vector<std::string> difference;
};

auto write_history_entry(const history_entry& entry) -> std::string;

// Nothing when the text is no entry.
auto read_history_entry(std::string_view text) -> std::optional<history_entry>;

// A new change id for the change that makes this version.
auto make_change_id(configuration_version version, std::uint64_t random)
    -> std::string;

// The version in a change id, or 0 when it is no change id.
auto version_of_change_id(std::string_view change_id) -> configuration_version;

} // namespace briardrum

#endif
