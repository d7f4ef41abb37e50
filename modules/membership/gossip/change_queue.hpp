#ifndef BRIARDRUM_MEMBERSHIP_GOSSIP_CHANGE_QUEUE_HPP
#define BRIARDRUM_MEMBERSHIP_GOSSIP_CHANGE_QUEUE_HPP

#include "core/core.hpp"

#include <array>
#include <vector>

namespace briardrum
{

// Where a gossip message goes: within the own data centre, or from a relay to
// another data centre. Each has its own number of sends per change.
enum class gossip_scope : std::uint8_t
{
    local = 0,
    remote = 1,
};

constexpr std::size_t gossip_scope_count = 2;

// How often one change is still to be sent, by scope.
using send_counts = std::array<std::uint32_t, gossip_scope_count>;

// Members whose records changed recently, each to be sent a bounded number of
// times. Hearing the same change from others counts as a send, so that a
// change that everybody knows dies out early.
class change_queue
{
public:
    // Queues a member's record; starts over when it is queued already.
    auto add(member_id id, send_counts sends) -> void;

    // Another member sent what is queued here.
    auto on_received(member_id id) -> void;

    // Up to n members to send in one message, the least sent first. Counts
    // one send for each.
    auto take(gossip_scope scope, std::size_t n) -> std::vector<member_id>;

    // Sends nothing of what is queued in this scope.
    auto clear(gossip_scope scope) -> void;

    // True when there is something to send.
    auto any(gossip_scope scope) const -> bool;

private:
    struct pending_change
    {
        member_id id = 0;
        send_counts sends_left{};
    };

    auto drop_finished() -> void;

    std::vector<pending_change> pending_;
};

} // namespace briardrum

#endif
