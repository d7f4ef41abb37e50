#ifndef BRIARDRUM_CORE_TIME_CLOCK_HPP
#define BRIARDRUM_CORE_TIME_CLOCK_HPP

#include "core/time/millis.hpp"

namespace briardrum
{

// Reads the system clocks in a daemon. Use now() for intervals, timeouts and
// deadlines; use wall() only for times shown to people and for incarnations.
// Decision code does not read a clock: it receives the time as an argument, so
// that tests can run it on virtual time.
class clock
{
public:
    // Milliseconds of a monotonic clock with an arbitrary origin.
    static auto now() -> millis;

    // Milliseconds since 1970-01-01 00:00 UTC.
    static auto wall() -> millis;
};

} // namespace briardrum

#endif
