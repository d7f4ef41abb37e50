#ifndef BRIARDRUM_PACKETS_BALANCER_SERVICE_OPENINGS_HPP
#define BRIARDRUM_PACKETS_BALANCER_SERVICE_OPENINGS_HPP

#include "config/settings/hedging_settings.hpp"

#include <array>
#include <optional>
#include <vector>

namespace briardrum
{

// What a balancer has measured of the openings of one service: how long they
// took, how many were slow of late, and how many hedges they have paid for.
class service_openings
{
public:
    // Number of recent openings whose percentile is the delay.
    static constexpr std::size_t samples_max = 1000;
    // Fewer give no usable percentile.
    static constexpr std::size_t samples_min = 100;
    // Openings of this period are considered for the calm check.
    static constexpr millis calm_window = seconds(2);
    // Fewer openings in the period are no evidence of calm.
    static constexpr std::uint32_t calm_openings_min = 10;

    // Time from the opening packet to the caller's next packet.
    auto add_sample(millis elapsed, double percentile) -> void;

    // The percentile of the samples; empty while there are too few.
    auto delay(millis floor) const -> std::optional<millis>;

    // Counts an opening as answered within the delay or not.
    auto add_outcome(millis now, bool answered) -> void;

    // Returns true if few openings were slow of late.
    auto is_calm(millis now, double percentile) const -> bool;

    // Token bucket: each opening adds a share of a hedge.
    auto earn(const hedging_settings& settings) -> void;
    auto has_token() const -> bool;
    auto spend() -> void;

    // Openings and slow openings within the calm window.
    struct outcome_counts
    {
        std::uint32_t openings = 0;
        std::uint32_t unanswered = 0;
    };

    auto recent(millis now) const -> outcome_counts;

    // Whether the last evaluation found calm, to report changes only.
    bool was_calm = false;

private:
    static constexpr millis slot_length = milliseconds(100);
    static constexpr std::size_t slot_count = 20;
    static_assert(slot_length.count * slot_count == calm_window.count);

    // Outcomes of one tenth of a second; index identifies it.
    struct slot
    {
        std::int64_t index = -1;
        outcome_counts counts;
    };

    auto update_percentile(double percentile) -> void;

    // Ring of the latest samples, in milliseconds.
    std::vector<std::uint16_t> samples_;
    std::size_t next_sample_ = 0;
    std::size_t since_update_ = 0;
    millis percentile_value_;
    double percentile_used_ = 0;
    std::array<slot, slot_count> slots_{};
    double tokens_ = 0;
};

} // namespace briardrum

#endif
