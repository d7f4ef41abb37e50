#include "node/agent/agent_counters.hpp"

namespace briardrum
{

auto to_string(agent_counter which) -> std::string_view
{
    constexpr std::array<std::string_view, agent_counter_count> names = {
        "datagrams",         "malformed",
        "unknown_service",   "wrong_incarnation",
        "hop_limit_reached", "dropped",
        "flows_placed",      "flows_placed_elsewhere",
        "flows_passed_on",   "flows_received",
        "flows_handed_over", "flows_expired",
        "requests",          "repeated",
        "answered",          "refused",
        "outcome_unknown",   "cookie_missing",
        "cookie_invalid",    "notifications",
        "late_answers",      "streams_lost"};
    return names.at(static_cast<std::size_t>(which));
}

} // namespace briardrum
