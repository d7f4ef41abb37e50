#ifndef BRIARDRUM_REQUESTS_LIMITS_CONCURRENCY_LIMIT_HPP
#define BRIARDRUM_REQUESTS_LIMITS_CONCURRENCY_LIMIT_HPP

#include "requests/limits/latency_estimate.hpp"

namespace briardrum
{

// How many requests the server is given at once, learnt from its own answers:
// additive increase while answers come as fast as usual, multiplicative
// decrease when it sheds load or slows down against its own baseline. A
// server that starts, or comes back, ramps up from 1.
class concurrency_limit
{
public:
    // What the server says it runs at once: the limit never goes above it.
    // 0 means that it does not say.
    auto set_slots(std::uint32_t slots) -> void;

    // The server answered after this long, with so many running beside it.
    auto on_answered(millis now, millis latency, std::size_t running) -> void;

    // The server shed a request.
    auto on_overloaded(millis now) -> void;

    // The server gave no answer in this time, and none is awaited any more.
    auto on_timed_out(millis now, millis waited) -> void;

    // The server is gone: ramp up again when it is back.
    auto restart() -> void;

    // Requests that may run at once; at least 1.
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
