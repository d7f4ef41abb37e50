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
    std::uint32_t allowance_offered = 1;
    // The same once no agent with a free slot was found.
    std::uint32_t allowance_settled = 3;
    // How long an opening packet may wait here. A caller whose flow is refused
    // tries again at once, and does so sooner than its next copy would come.
    millis wait_max = milliseconds(300);
    // When the longest wait is over this, the newest goes first: the oldest
    // would be late anyway, and all would be late in turn.
    millis newest_first_after = milliseconds(60);
    // Opening packets that may wait for each slot, whatever the estimate.
    std::uint32_t waiting_per_slot = 8;
};

// What becomes of an opening packet.
enum class admission_verdict : std::uint8_t
{
    start,
    wait,
    refuse,
};

// Who goes to the backend server, who waits and who is refused.
//
// Bounded concurrency with a short queue in front, adaptive LIFO under
// overload, and refusal at once when the estimated wait is too long (the
// patterns known from CoDel and from concurrency limits). A slow or cold
// server frees its slots later, and so is given less.
class flow_admission
{
public:
    explicit flow_admission(admission_settings settings);

    auto set_slots(std::uint32_t slots) -> void;

    // A flow came to use a slot, or gave it back after this time.
    auto occupy() -> void;
    auto vacate(std::optional<millis> used_for) -> void;

    // True when the server has a free slot for a flow just offered.
    auto has_free_slot() const -> bool;

    // What to do with an opening packet that has found no free slot elsewhere.
    auto settle() const -> admission_verdict;

    auto push(millis now, const flow_key& flow, std::uint8_t urgency) -> void;

    // The flow to start next, when the server can take one.
    auto pop(millis now) -> std::optional<flow_key>;

    // Flows that waited too long; they are taken out.
    auto take_expired(millis now) -> std::vector<flow_key>;

    // Takes everything out, in order of arrival.
    auto take_all() -> std::vector<flow_key>;

    auto remove(const flow_key& flow) -> void;

    // How long an opening packet that came now would wait.
    auto expected_wait() const -> millis;

    auto busy() const -> std::uint32_t;
    auto waiting() const -> std::size_t;

private:
    struct waiting_flow
    {
        flow_key flow;
        std::uint8_t urgency = 0;
        millis since;
    };

    auto has_room(std::uint32_t allowance) const -> bool;

    admission_settings settings_;
    std::uint32_t slots_ = 1;
    std::uint32_t busy_ = 0;
    // Smoothed time that a flow uses a slot, in microseconds.
    std::int64_t slot_time_us_ = 0;
    // In order of arrival.
    std::vector<waiting_flow> waiting_;
};

} // namespace briardrum

#endif
