#ifndef BRIARDRUM_PACKETS_AGENT_FLOW_ADMISSION_HPP
#define BRIARDRUM_PACKETS_AGENT_FLOW_ADMISSION_HPP

#include "core/core.hpp"

#include <optional>
#include <vector>

namespace briardrum
{

// Limits of a flow_admission.
struct admission_settings
{
    // Flows admitted beyond the slots of the server while other agents may have
    // a free slot. A slot would otherwise be idle between the opening of a flow
    // and its first request.
    std::uint32_t overcommit_offered = 1;
    // As overcommit_offered, once no agent with a free slot was found.
    std::uint32_t overcommit_settled = 3;
    // Multi-packet requests that may arrive concurrently, beyond the slots.
    // Each keeps a window of packets in flight; without a limit, the narrow
    // links of the balancers drop packets of all flows.
    std::uint32_t overcommit_transfers = 1;
    // Age up to which a flow can still be answered in time: the remainder of
    // the shortest latency objective, 120 ms, is needed for the work itself.
    millis fresh_age_max = milliseconds(60);
    // Age up to which older flows stay queued, behind all fresh ones. A caller
    // abandons an opening packet after 1.4 s, and the answer still has to reach
    // it.
    millis queue_age_max = milliseconds(1200);
    // Queue limit per slot for late flows: as many as can be served within
    // queue_age_max at 40 ms per request. A refused caller retries at once, and
    // would exhaust its retries before a slot becomes free.
    std::uint32_t late_flows_per_slot = 30;
    // Late flows are queued to absorb short peaks. If the queue has not been
    // empty for this time, the longest of the shorter request deadlines, the
    // overload is persistent: late flows are refused at once until it is empty.
    millis standing_queue_time = seconds(2);
    // Initial estimate of the time that a flow occupies a slot, until it has
    // been measured: the mean work of the most frequent requests.
    millis initial_slot_time = milliseconds(40);
};

// Outcome for an opening packet.
enum class admission_decision : std::uint8_t
{
    start,
    wait,
    refuse,
};

// Decides which flows are started at the backend server, queued or refused.
//
// Limits concurrency, with two queues in front: flows that can still be
// answered in time come first, by urgency and then in order of arrival. Late
// flows wait behind them, newest first (adaptive LIFO), until their caller is
// about to give up. Flows that cannot be served before that are refused at
// once. A slow or cold server frees its slots later, and so receives fewer
// flows.
class flow_admission
{
public:
    explicit flow_admission(admission_settings settings);

    auto set_slots(std::uint32_t slots) -> void;

    // Call when a flow starts to use a slot, and when it releases the slot,
    // with the time it was used for if that is a valid sample.
    auto acquire_slot() -> void;
    auto release_slot(std::optional<millis> used_for) -> void;

    // Call when a multi-packet request starts to arrive, and when it has
    // arrived or ended.
    auto begin_transfer() -> void;
    auto end_transfer() -> void;

    // Returns true if the server has a free slot for a newly offered flow.
    auto has_free_slot() const -> bool;

    // Returns true if the server has a slot that neither a flow uses nor one
    // waits for.
    auto has_idle_slot() const -> bool;

    // Decides on an opening packet for which no agent has a free slot.
    // start_delay is the time for which the server may not be given the flow
    // although it has a slot; a flow is refused if that makes it wait for
    // longer than queue_age_max.
    auto decide(millis now, std::uint8_t urgency, millis first_sent_at,
                millis start_delay = {}) const -> admission_decision;

    // first_sent_at is the time at which the caller first sent the opening
    // packet, as far as known.
    auto push(millis now, const flow_key& flow, std::uint8_t urgency,
              millis first_sent_at) -> void;

    // Removes and returns the next flow to start, if the server can take one.
    auto pop(millis now) -> std::optional<flow_key>;

    // Removes and returns the flows that have waited for too long.
    auto take_expired(millis now) -> std::vector<flow_key>;

    // Removes and returns all flows, in order of arrival.
    auto take_all() -> std::vector<flow_key>;

    auto remove(const flow_key& flow) -> void;

    // Estimates how long a flow would wait behind those that precede it.
    auto expected_wait(millis now, std::uint8_t urgency,
                       millis first_sent_at) const -> millis;

    auto busy() const -> std::uint32_t;
    auto waiting() const -> std::size_t;

private:
    struct waiting_flow
    {
        flow_key flow;
        std::uint8_t urgency = 0;
        millis first_sent_at;
    };

    auto has_capacity(std::uint32_t overcommit) const -> bool;
    auto is_fresh(millis now, millis first_sent_at) const -> bool;
    auto precedes(millis now, const waiting_flow& a,
                  const waiting_flow& b) const -> bool;

    admission_settings settings_;
    std::uint32_t slots_ = 1;
    std::uint32_t busy_ = 0;
    std::uint32_t transfers_ = 0;
    // Moving average of the time that a flow uses a slot, in microseconds.
    std::int64_t slot_time_us_;
    // In order of arrival.
    std::vector<waiting_flow> waiting_;
    // Time of the last push into an empty queue.
    millis last_empty_at_;
};

} // namespace briardrum

#endif
