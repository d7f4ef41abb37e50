#ifndef BRIARDRUM_NODE_DISTRIBUTION_WATCHER_CHOICE_HPP
#define BRIARDRUM_NODE_DISTRIBUTION_WATCHER_CHOICE_HPP

#include "core/core.hpp"
#include "wire/wire.hpp"

#include <span>
#include <string_view>
#include <vector>

namespace briardrum
{

// Number of members per data centre that watch the store.
constexpr std::size_t watchers_per_data_centre = 2;

// Chooses the watchers of a data centre by rendezvous hashing over its live
// members. Every member computes the result from its own view, so no election
// is needed; while views differ there may be a few watchers more or fewer,
// which only costs some calls to the store. Suspect members are skipped
// immediately.
auto choose_watchers(std::string_view data_centre,
                     std::span<const member_record> records)
    -> std::vector<member_id>;

} // namespace briardrum

#endif
