#ifndef BRIARDRUM_MEMBERSHIP_GOSSIP_CHANGE_QUEUE_HPP
#define BRIARDRUM_MEMBERSHIP_GOSSIP_CHANGE_QUEUE_HPP

#include "core/core.hpp"

#include <array>
#include <vector>

namespace briardrum
{

// Destination of a gossip message: within the own data centre, or from a relay
// to another data centre. Each change has a separate send count per scope.
enum class gossip_scope : std::uint8_t
{
    local = 0,
    remote = 1,
};

constexpr std::size_t gossip_scope_count = 2;

// Remaining sends of one change, by scope.
using send_counts = std::array<std::uint32_t, gossip_scope_count>;

// Queue of members whose records changed recently, each to be sent a bounded
// number of times. Receiving the same change from another member counts as a
// send, so that a widely known change leaves the queue early.
class change_queue
{
public:
    // Queues a member's record. Resets its send counts if it is already queued.
    auto add(member_id id, send_counts sends) -> void;

    // Counts one local send of a change that another member sent to us.
    auto on_received(member_id id) -> void;

    // Returns up to n members to send in one message, those sent least often
    // first, and counts one send for each.
    auto take(gossip_scope scope, std::size_t n) -> std::vector<member_id>;

    // Drops all pending sends of this scope.
    auto clear(gossip_scope scope) -> void;

    // Returns true if any change is left to send in this scope.
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
