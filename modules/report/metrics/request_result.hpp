#ifndef BRIARDRUM_REPORT_METRICS_REQUEST_RESULT_HPP
#define BRIARDRUM_REPORT_METRICS_REQUEST_RESULT_HPP

#include "requests/requests.hpp"

#include <string_view>

namespace briardrum
{

// What a caller got for a request. Every result other than good counts against
// the error budget.
enum class request_result : std::uint8_t
{
    good = 0,
    // Answered, but later than the latency objective.
    late = 1,
    // Rejected with an error that says the request was not run.
    refused = 2,
    // Discarded without an answer, by a balancer or because memory ran out.
    dropped = 3,
    // Not answered in time, or with an unknown outcome.
    timed_out = 4,
    // Cancelled because the caller had stopped waiting.
    cancelled = 5,
};

constexpr std::size_t request_result_count = 6;

auto to_string(request_result result) -> std::string_view;

// Classifies a finished request by its outcome and the latency objective.
auto result_of(const request_outcome& outcome, millis objective_latency)
    -> request_result;

} // namespace briardrum

#endif
