#include "report/metrics/request_result.hpp"

#include <array>

namespace briardrum
{

auto to_string(request_result result) -> std::string_view
{
    constexpr std::array<std::string_view, request_result_count> names = {
        "good", "late", "refused", "dropped", "timed_out", "cancelled"};
    return names.at(static_cast<std::size_t>(result));
}

auto result_of(const request_outcome& outcome, millis objective_latency)
    -> request_result
{
    if (outcome.cancelled)
    {
        return request_result::cancelled;
    }
    if (outcome.kind == error_kind::none)
    {
        const auto late = outcome.latency > objective_latency;
        return late ? request_result::late : request_result::good;
    }
    const auto not_run = error_mapping_for(outcome.kind).not_run;
    return not_run ? request_result::refused : request_result::timed_out;
}

} // namespace briardrum
