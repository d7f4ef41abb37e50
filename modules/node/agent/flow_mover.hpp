#ifndef BRIARDRUM_NODE_AGENT_FLOW_MOVER_HPP
#define BRIARDRUM_NODE_AGENT_FLOW_MOVER_HPP

#include "node/agent/agent_context.hpp"
#include "node/agent/redirect_announcer.hpp"
#include "node/agent/request_path.hpp"

#include <map>

namespace briardrum
{

// Hands flows over to other agents, and takes flows in.
//
// A flow moves when nothing of it is under way: it is frozen, its record is
// sent until the receiver acknowledges, and its datagrams are held meanwhile.
// A receiver that is lost without an acknowledgement may have run work of the
// flow, so the next one gets the record without the right to honour the
// cookies of earlier owners.
class flow_mover
{
public:
    flow_mover(agent_context& context, transfer_table& transfers,
               redirect_announcer& announcer, request_path& requests);

    // Moves away every flow that can move, a bounded number a call.
    auto evacuate_flows(millis now) -> void;

    // Starts to hand over one flow; false when it cannot move now.
    auto move(millis now, const flow_key& flow) -> bool;
    auto move(millis now, const flow_key& flow, member_id to) -> bool;

    // Another agent hands a flow over; true when it was taken.
    auto on_hand_over(millis now, member_id from,
                      const hand_over_message& message) -> bool;

    // A hand_over_message of ours ended.
    auto on_ended(millis now, member_id to, const hand_over_message& message,
                  transfer_outcome outcome) -> void;

    // Forgets old transfers.
    auto tick(millis now) -> void;

    // Flows that are frozen.
    auto moving_count() const -> std::size_t;

private:
    struct transfer_id
    {
        member_id from = 0;
        std::uint64_t sequence = 0;

        // clang-tidy 14 takes the rewritten comparison for a null pointer.
        // NOLINTNEXTLINE(modernize-use-nullptr)
        auto operator<=>(const transfer_id&) const = default;
    };

    auto choose_receiver(const flow_key& flow, member_id except) const
        -> member_id;
    auto send(millis now, flow_record record, member_id except) -> void;
    auto finish(millis now, const flow_record& record, member_id to) -> void;
    auto cancel_move(millis now, const flow_record& record) -> void;
    auto adopt(millis now, const flow_record& record) -> void;

    agent_context& context_;
    transfer_table& transfers_;
    redirect_announcer& announcer_;
    request_path& requests_;
    std::size_t moving_ = 0;
    // Transfers that were taken, so that a repeated one is acknowledged even
    // after the flow has moved on, with the time they were taken.
    std::map<transfer_id, millis> accepted_transfers_;
    millis next_expiry_;
};

} // namespace briardrum

#endif
