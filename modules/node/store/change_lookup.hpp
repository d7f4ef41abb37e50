#ifndef BRIARDRUM_NODE_STORE_CHANGE_LOOKUP_HPP
#define BRIARDRUM_NODE_STORE_CHANGE_LOOKUP_HPP

#include "core/core.hpp"
#include "node/store/store_layout.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace briardrum
{

enum class change_state : std::uint8_t
{
    // It is in the store.
    accepted,
    // Another change made the version that it would have made: it never
    // takes effect.
    refused,
    // Neither yet: a write on its way may still take effect.
    pending,
    // So many changes came after it that its history entry is gone.
    forgotten,
};

auto to_string(change_state state) -> std::string_view;

// What became of a change, and the entry that stands where its own would:
// its own when accepted, the winner's when refused.
struct change_status
{
    change_state state = change_state::pending;
    std::optional<history_entry> entry;
};

// Finds out what became of a change by its id. The root value is read first
// and the history after it, so that a write that lands in between is seen.
auto look_up_change(store& source, const store_layout& layout,
                    const std::string& change_id,
                    store_callback<change_status> done) -> void;

} // namespace briardrum

#endif
