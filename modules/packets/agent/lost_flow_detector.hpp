#ifndef BRIARDRUM_PACKETS_AGENT_LOST_FLOW_DETECTOR_HPP
#define BRIARDRUM_PACKETS_AGENT_LOST_FLOW_DETECTOR_HPP

#include "packets/agent/agent_census.hpp"
#include "packets/model/flow_packet.hpp"

#include <functional>
#include <optional>
#include <span>
#include <vector>

namespace briardrum
{

// A flow that is open at no server.
struct lost_flow
{
    endpoint caller;
    endpoint route;
    // Last acknowledgement number of the caller.
    std::uint32_t acknowledged = 0;
    // Time since the packet that was not claimed by any agent.
    millis elapsed;
    std::size_t denied_by = 0;
};

// A flow that could not be proved to be lost, and what the proof lacked.
struct undecided_flow
{
    flow_key flow;
    std::size_t denied_by = 0;
    // Members that have not replied with the agents known here.
    std::size_t missing_replies = 0;
    // Agents that have departed and whose servers may live on.
    std::size_t departed = 0;
};

// Callbacks of a lost_flow_detector.
struct lost_flow_hooks
{
    std::function<void(const member_record& to, flow_query_message)> send_query;
    // A member holds the flow of this packet, which had been kept for it.
    std::function<void(millis now, const flow_packet&, member_id owner)> found;
    // The flow is open at no server: its caller can be reset.
    std::function<void(millis now, const lost_flow&)> lost;
    std::function<void(const undecided_flow&)> undecided;
    // A member cannot tell whether its server holds the flow of this packet.
    // Returns true if the packet was sent to it: its server returns the packet
    // if it does not hold the flow.
    std::function<bool(millis now, const flow_packet&, member_id)> show_packet;
};

// Proves that flows are lost, so that their callers can retry at once instead
// of waiting for their deadlines.
//
// A flow is lost once every live agent of every service has denied that its
// server holds it, the census of agents is complete for a query that was sent
// after the packet of the flow arrived, and no departed agent whose server may
// live on was reached for as long as the caller waits for an answer: to that
// caller, a server that cannot be reached is no better than one that is gone. A
// flow that is open already cannot move to another server, so denials do not
// expire. Without the proof, nothing happens, and the flow is forgotten.
class lost_flow_detector
{
public:
    // A search for the owner has been answered by this time, with two hops
    // between data centres.
    static constexpr millis query_delay = milliseconds(30);
    // Bounds the interval between queries, which is as long as it takes to ask
    // every member at messages_per_second: after a power loss, every agent asks
    // all members. By the figure of owner_search for 600 messages, answering
    // 800 takes about a seventh of an agent's 0.15 of a core.
    static constexpr millis query_interval_min = milliseconds(60);
    static constexpr std::int64_t messages_per_second = 800;
    // Between looks at flows for which only time has passed.
    static constexpr millis report_interval = milliseconds(100);
    // For this long after a flow was found to be lost, others are likely to be
    // lost, too, and are asked for at once.
    static constexpr millis recovery_time = seconds(5);
    // Deadline of a caller whose route's deadline is not known: longer than
    // callers usually wait, for a proof that comes too early breaks flows.
    static constexpr millis deadline_if_unknown = seconds(8);
    // Callers retransmit at intervals of up to 1.6 s, and start this anew.
    static constexpr millis retention = seconds(3);
    // The denials of a process that has been paused for longer are obsolete.
    static constexpr millis pause_max = milliseconds(500);
    // Keeps the packets of the flows below half a megabyte.
    static constexpr std::size_t flows_max = 256;
    // As many flows as fit into one datagram.
    static constexpr std::size_t flows_per_query = 96;

    lost_flow_detector(const member_view& members, millis flow_lifetime,
                       millis started_at, lost_flow_hooks hooks);

    // Call for a packet of a caller on a flow that no agent has claimed yet.
    // Only a packet with a payload needs an answer; any other is ignored.
    auto suspect(millis now, const flow_packet& packet) -> void;

    // Returns true if flows were found to be lost a short time ago, as after a
    // power loss.
    auto is_recovering(millis now) const -> bool;

    // Call when the owner of a flow was found by other means, or the flow is
    // opened anew.
    auto forget(const flow_key& flow) -> void;

    // Call when an agent is certain that its server does not hold the flow.
    auto on_denied(const flow_key& flow, member_id by) -> void;

    auto on_reply(millis now, member_id from, const flow_reply_message& reply)
        -> void;

    // Call with the agents that were registered in the store after this process
    // started; without them no flow is considered lost.
    auto on_registered(millis now, std::span<const listed_agent> agents)
        -> void;

    // Call for an agent that departed before this process knew it.
    auto on_departed(millis now, const member_record& record) -> void;

    // Sends due queries and reports lost flows.
    auto tick(millis now) -> void;

private:
    struct row
    {
        flow_packet packet;
        byte_buffer bytes;
        millis since;
        // The time for which its caller waits for an answer.
        millis deadline;
        // The first query that includes the flow.
        std::uint64_t query = 0;
        // Sorted.
        std::vector<member_id> denied_by;
        // Members that were sent the packet.
        std::vector<member_id> shown_to;
    };

    auto show_packets(millis now, member_id to, std::uint64_t query) -> void;
    auto discard_after_pause(millis now) -> void;
    auto expire(millis now) -> void;
    auto send_queries(millis now) -> void;
    auto query_interval() const -> millis;
    auto flows_for(millis now, const member_record& record) const
        -> std::vector<flow_key>;
    auto report_lost(millis now) -> void;
    auto is_denied_by_all(const row& it) const -> bool;
    static auto has_denied(const row& it, member_id id) -> bool;

    const member_view& members_;
    lost_flow_hooks hooks_;
    agent_census census_;
    table<flow_key, row> rows_;
    std::uint64_t next_query_ = 1;
    millis next_query_at_;
    millis next_report_;
    millis last_tick_;
    std::optional<millis> last_lost_at_;
    // Set if a reply or a denial has arrived since lost flows were looked for.
    bool has_news_ = false;
};

} // namespace briardrum

#endif
