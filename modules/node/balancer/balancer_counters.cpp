#include "node/balancer/balancer_counters.hpp"

namespace briardrum
{

auto to_string(balancer_counter which) -> std::string_view
{
    constexpr std::array<std::string_view, balancer_counter_count> names = {
        "unknown_service", "no_configuration", "oversize",
        "misdelivered_answers"};
    return names.at(static_cast<std::size_t>(which));
}

auto to_string(service_counter which) -> std::string_view
{
    constexpr std::array<std::string_view, service_counter_count> names = {
        "received",        "forwarded",          "forwarded_by_hint",
        "answers",         "dropped_over_share", "dropped_too_late",
        "dropped_removed", "dropped_no_server"};
    return names.at(static_cast<std::size_t>(which));
}

} // namespace briardrum
