#ifndef BRIARDRUM_STAND_INS_STORE_STORE_FAULTS_HPP
#define BRIARDRUM_STAND_INS_STORE_STORE_FAULTS_HPP

#include "core/core.hpp"

#include <absl/status/statusor.h>
#include <string>
#include <string_view>

namespace briardrum::stand_in
{

// What goes wrong in a stand-in store; nothing by default.
struct store_faults
{
    // Every call is refused.
    bool down = false;
    // Every call waits this long before it is carried out.
    millis slow;
    // Writes are done and their answers lost; this many of them.
    std::uint32_t lose_answers = 0;
    // The next write is done, its answer lost, and the store down from then.
    bool down_after_write = false;
    // Watches stay open and tell nothing.
    bool silent_watches = false;
    // Every event is told twice.
    bool repeat_events = false;
    // Events are told this much later.
    millis late_events;
    // Every lease ends at once.
    bool expire_leases = false;
};

// Reads a JSON object like {"down": true, "slow_ms": 200}; fields that are
// left out are as in an unharmed store.
auto parse_store_faults(std::string_view text) -> absl::StatusOr<store_faults>;

} // namespace briardrum::stand_in

#endif
