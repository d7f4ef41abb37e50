#ifndef BRIARDRUM_REQUESTS_LIMITS_CONCURRENCY_LIMIT_HPP
#define BRIARDRUM_REQUESTS_LIMITS_CONCURRENCY_LIMIT_HPP

#include "requests/limits/latency_estimate.hpp"

namespace briardrum
{

// Adaptive limit of the requests that run at the server at the same time, with
// additive increase while latency stays near its baseline, and multiplicative
// decrease when the server sheds load, slows down against its baseline or times
// out. After a start or restart of the server the limit begins at 1 and rises
// in slow start.
class concurrency_limit
{
public:
    // Sets the number of concurrent requests that the server advertises, which
    // is the upper bound of the limit. 0 means that it is unknown.
    auto set_slots(std::uint32_t slots) -> void;

    // The server answered a request after this latency. running is the number
    // of requests that were running, including the answered one.
    auto on_answered(millis now, millis latency, std::size_t running) -> void;

    // The server shed a request.
    auto on_overloaded(millis now) -> void;

    // The server did not answer within this time, and no answer is expected any
    // more.
    auto on_timed_out(millis now, millis waited) -> void;

    // The server is gone. Restarts in slow start, with no latency samples.
    auto restart() -> void;

    // Requests that may run at the same time; at least 1.
    auto value() const -> std::size_t;

    auto latency() const -> const latency_estimate&;

private:
    auto decrease(millis now, double factor) -> void;

    double limit_ = 1;
    double limit_max_ = 1;
    bool slow_start_ = true;
    millis last_decrease_{INT64_MIN / 2};
    latency_estimate latency_;
};

} // namespace briardrum

#endif
