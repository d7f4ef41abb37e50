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
    // The change is in the store.
    accepted,
    // Another change has taken its version; it never takes effect.
    refused,
    // Not decided: a write in flight may still take effect.
    pending,
    // Unknown, because later changes have overwritten its history entry.
    forgotten,
};

auto to_string(change_state state) -> std::string_view;

// The state of a change and the history entry in its slot: its own when
// accepted, that of the winning change when refused.
struct change_status
{
    change_state state = change_state::pending;
    std::optional<history_entry> entry;
};

// Looks up the state of a change by its id. Reads the root value before the
// history, so that a write committed between the two reads is seen. source must
// outlive the lookup.
auto look_up_change(store& source, const store_layout& layout,
                    const std::string& change_id,
                    store_callback<change_status> done) -> void;

} // namespace briardrum

#endif
