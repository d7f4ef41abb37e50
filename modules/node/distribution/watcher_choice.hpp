#ifndef BRIARDRUM_NODE_DISTRIBUTION_WATCHER_CHOICE_HPP
#define BRIARDRUM_NODE_DISTRIBUTION_WATCHER_CHOICE_HPP

#include "core/core.hpp"
#include "wire/wire.hpp"

#include <span>
#include <string_view>
#include <vector>

namespace briardrum
{

// Members of a data centre that hold the watch on the store.
constexpr std::size_t watchers_per_data_centre = 2;

// The watchers of a data centre: of its live members those that come first
// by rendezvous. Every member works this out for itself, so no election is
// held; while views differ there are a few watchers more or less, which costs
// some calls and nothing else. A suspect is passed over at once.
auto choose_watchers(std::string_view data_centre,
                     std::span<const member_record> records)
    -> std::vector<member_id>;

} // namespace briardrum

#endif
