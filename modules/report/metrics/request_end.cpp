#include "report/metrics/request_end.hpp"

#include <array>

namespace briardrum
{

auto to_string(request_end end) -> std::string_view
{
    constexpr std::array<std::string_view, request_end_count> names = {
        "good", "late", "refused", "dropped", "timed_out", "cancelled"};
    return names.at(static_cast<std::size_t>(end));
}

auto end_of(const request_outcome& outcome, millis objective_latency)
    -> request_end
{
    if (outcome.cancelled)
    {
        return request_end::cancelled;
    }
    if (outcome.kind == error_kind::none)
    {
        const auto late = outcome.latency > objective_latency;
        return late ? request_end::late : request_end::good;
    }
    const auto not_run = error_mapping_for(outcome.kind).not_run;
    return not_run ? request_end::refused : request_end::timed_out;
}

} // namespace briardrum
