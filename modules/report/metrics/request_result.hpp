#ifndef BRIARDRUM_REPORT_METRICS_REQUEST_RESULT_HPP
#define BRIARDRUM_REPORT_METRICS_REQUEST_RESULT_HPP

#include "requests/requests.hpp"

#include <string_view>

namespace briardrum
{

// What a caller got for a request. Only good counts as good.
enum class request_result : std::uint8_t
{
    good = 0,
    // Answered, later than the objective.
    late = 1,
    // Told that it was not run.
    refused = 2,
    // Given up without a word, by a balancer or for want of memory.
    dropped = 3,
    // No answer in time, or an outcome that nobody knows.
    timed_out = 4,
    // The caller had stopped waiting.
    cancelled = 5,
};

constexpr std::size_t request_result_count = 6;

auto to_string(request_result result) -> std::string_view;

// How an ended request counts against an objective for its latency.
auto result_of(const request_outcome& outcome, millis objective_latency)
    -> request_result;

} // namespace briardrum

#endif
