#ifndef BRIARDRUM_CORE_TIME_CLOCK_HPP
#define BRIARDRUM_CORE_TIME_CLOCK_HPP

#include "core/time/millis.hpp"

namespace briardrum
{

// Reads the time for a daemon. Call now() for intervals, timeouts and
// deadlines; call wall() only for what a person reads and for incarnations.
// Decision code never holds a clock: it is handed the time, so that tests
// run it on virtual time.
class clock
{
public:
    // Milliseconds of a clock that never goes back; its origin is arbitrary.
    static auto now() -> millis;

    // Milliseconds since 1970-01-01 00:00 UTC.
    static auto wall() -> millis;
};

} // namespace briardrum

#endif
