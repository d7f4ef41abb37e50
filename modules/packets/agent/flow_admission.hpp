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
    // Flows at the server beyond its slots while other agents may have a free
    // one. One covers the time between a flow's opening and its request, in
    // which a slot would stand idle.
    std::uint32_t overcommit_offered = 1;
    // The same once no agent with a free slot was found.
    std::uint32_t overcommit_settled = 3;
    // Requests of several packets that may arrive at a time, beyond the slots.
    // Each keeps a window of packets under way: without a bound, the narrow
    // links of balancers lose packets of everybody.
    std::uint32_t overcommit_transfers = 1;
    // A flow that waited no longer than this can still be answered in time: the
    // rest of the users' shortest latency objective, 120 ms, is work.
    millis fresh_age_max = milliseconds(60);
    // Flows older than that wait behind all fresh ones for so long. A caller
    // gives up an opening packet after 1.4 s; its answer still has to reach it.
    millis queue_age_max = milliseconds(1200);
    // Flows that wait late for each slot: as many as are served in
    // queue_age_max, at the 40 ms a request takes. A caller that is refused
    // tries again at once, and has used up its tries before a slot is free.
    std::uint32_t late_flows_per_slot = 30;
    // Flows wait late to get over a short peak. When some have waited for all
    // this time, the longest of the users' shorter deadlines, the overload
    // lasts: further ones are refused at once until none waits.
    millis standing_queue_time = seconds(2);
    // How long a flow uses a slot, until the server has shown it: the mean work
    // of the users' most frequent requests.
    millis initial_slot_time = milliseconds(40);
};

// What becomes of an opening packet.
enum class admission_decision : std::uint8_t
{
    start,
    wait,
    refuse,
};

// Who goes to the backend server, who waits and who is refused.
//
// Bounded concurrency with two queues in front: flows that can still be
// answered in time go first, by urgency and then in order of arrival; those
// that cannot wait behind them, newest first (adaptive LIFO), until their
// caller is about to give up. What cannot be served before that is refused at
// once. A slow or cold server frees its slots later, and so is given less.
class flow_admission
{
public:
    explicit flow_admission(admission_settings settings);

    auto set_slots(std::uint32_t slots) -> void;

    // A flow came to use a slot, or gave it back after this time.
    auto acquire_slot() -> void;
    auto release_slot(std::optional<millis> used_for) -> void;

    // A request of several packets began to arrive, or is over.
    auto begin_transfer() -> void;
    auto end_transfer() -> void;

    // True when the server has a free slot for a flow just offered.
    auto has_free_slot() const -> bool;

    // What to do with an opening packet that has found no free slot elsewhere.
    auto decide(millis now, std::uint8_t urgency, millis first_sent_at) const
        -> admission_decision;

    // first_sent_at is when the caller first sent the opening packet, as far as
    // known.
    auto push(millis now, const flow_key& flow, std::uint8_t urgency,
              millis first_sent_at) -> void;

    // The flow to start next, when the server can take one.
    auto pop(millis now) -> std::optional<flow_key>;

    // Flows that waited too long; they are taken out.
    auto take_expired(millis now) -> std::vector<flow_key>;

    // Takes everything out, in order of arrival.
    auto take_all() -> std::vector<flow_key>;

    auto remove(const flow_key& flow) -> void;

    // How long a flow would wait behind those that go before it.
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
    // Smoothed time that a flow uses a slot, in microseconds.
    std::int64_t slot_time_us_;
    // In order of arrival.
    std::vector<waiting_flow> waiting_;
    // When the queue was last found empty.
    millis last_empty_at_;
};

} // namespace briardrum

#endif
