#ifndef BRIARDRUM_NODE_AGENT_AGENT_COUNTERS_HPP
#define BRIARDRUM_NODE_AGENT_AGENT_COUNTERS_HPP

#include "core/core.hpp"

#include <array>
#include <cstdint>
#include <string_view>

namespace briardrum
{

enum class agent_counter : std::uint8_t
{
    datagrams,
    malformed,
    unknown_service,
    wrong_incarnation,
    hop_limit_reached,
    dropped,
    flows_placed,
    flows_placed_elsewhere,
    flows_passed_on,
    flows_received,
    flows_handed_over,
    flows_expired,
    requests,
    repeated,
    answered,
    refused,
    outcome_unknown,
    cookie_missing,
    cookie_invalid,
    notifications,
    late_answers,
    streams_lost,
};

constexpr std::size_t agent_counter_count =
    static_cast<std::size_t>(agent_counter::streams_lost) + 1;

// Returns the counter's name in metrics.
auto to_string(agent_counter which) -> std::string_view;

// Counters of one agent since it started.
class agent_counters
{
public:
    auto add(agent_counter which, std::uint64_t n = 1) -> void
    {
        values_.at(static_cast<std::size_t>(which)) += n;
    }

    auto get(agent_counter which) const -> std::uint64_t
    {
        return values_.at(static_cast<std::size_t>(which));
    }

private:
    std::array<std::uint64_t, agent_counter_count> values_{};
};

} // namespace briardrum

#endif
