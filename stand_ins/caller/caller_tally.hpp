#ifndef BRIARDRUM_STAND_INS_CALLER_CALLER_TALLY_HPP
#define BRIARDRUM_STAND_INS_CALLER_CALLER_TALLY_HPP

#include "core/core.hpp"

#include <array>
#include <string>
#include <vector>

namespace briardrum
{

// How one request ended.
enum class request_outcome : std::uint8_t
{
    answered,
    // The answer is of another service or to another request, or not whole.
    wrong,
    missing,
    refused_not_run,
    outcome_unknown,
};

constexpr std::size_t request_outcome_count = 5;

// What all sessions of one caller process saw.
class caller_tally
{
public:
    auto add_sent() -> void;
    auto add_outcome(request_outcome outcome) -> void;

    // A confirmation, upload or the like that was answered.
    auto add_confirmed() -> void;
    auto add_notification() -> void;
    auto add_broken_flow() -> void;
    auto add_latency(millis latency) -> void;

    // True when nothing was wrong or missing.
    auto is_good() const -> bool;

    // One line of key=value pairs.
    auto line(std::string_view mode) -> std::string;

private:
    auto count_of(request_outcome outcome) const -> std::uint64_t;
    auto latency_at(std::size_t percent) -> std::uint64_t;

    std::uint64_t sent_ = 0;
    std::array<std::uint64_t, request_outcome_count> outcomes_{};
    std::uint64_t confirmed_ = 0;
    std::uint64_t notifications_ = 0;
    std::uint64_t broken_flows_ = 0;
    std::vector<millis> latencies_;
};

} // namespace briardrum

#endif
