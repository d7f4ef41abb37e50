#ifndef BRIARDRUM_NODE_AGENT_FLOW_MOVER_HPP
#define BRIARDRUM_NODE_AGENT_FLOW_MOVER_HPP

#include "node/agent/agent_context.hpp"
#include "node/agent/redirect_announcer.hpp"
#include "node/agent/request_path.hpp"

#include <map>

namespace briardrum
{

// Hands flows over to other agents and accepts flows from them.
//
// A flow moves when it has no work in progress. It is frozen, its record is
// sent until the receiver acknowledges it, and its datagrams are held
// meanwhile. If the receiver is lost before it acknowledges, it may have run
// requests of the flow, so the next receiver gets a record that does not allow
// it to accept cookies of earlier owners.
class flow_mover
{
public:
    flow_mover(agent_context& context, transfer_table& transfers,
               redirect_announcer& announcer, request_path& requests);

    // Starts to hand over the flows that can move, at most a fixed number per
    // call.
    auto evacuate_flows(millis now) -> void;

    // Starts to hand over one flow; returns false if it cannot move now.
    auto move(millis now, const flow_key& flow) -> bool;
    auto move(millis now, const flow_key& flow, member_id to) -> bool;

    // Handles a flow handed over by another agent; returns true if it was
    // accepted.
    auto on_hand_over(millis now, member_id from,
                      const hand_over_message& message) -> bool;

    // Handles the end of a transfer that this agent started.
    auto on_ended(millis now, member_id to, const hand_over_message& message,
                  transfer_outcome outcome) -> void;

    // Removes expired entries of accepted transfers.
    auto tick(millis now) -> void;

    // Number of flows that are frozen for hand-over.
    auto moving_count() const -> std::size_t;

private:
    struct transfer_id
    {
        member_id from = 0;
        std::uint64_t sequence = 0;

        // clang-tidy 14 mistakes the rewritten comparison for a null pointer.
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
    // Accepted transfers with the time of acceptance, so that a repeated one is
    // acknowledged even after the flow has moved on.
    std::map<transfer_id, millis> accepted_transfers_;
    millis next_expiry_;
};

} // namespace briardrum

#endif
