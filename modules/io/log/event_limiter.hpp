#ifndef BRIARDRUM_IO_LOG_EVENT_LIMITER_HPP
#define BRIARDRUM_IO_LOG_EVENT_LIMITER_HPP

#include "core/core.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace briardrum
{

// Events of one name that were kept out of the log.
struct suppressed_events
{
    std::string name;
    std::uint64_t count = 0;
};

// Lets only so many events of one name through per interval, so that a flood
// cannot flood the log as well.
class event_limiter
{
public:
    static constexpr millis interval = seconds(1);
    static constexpr std::uint32_t events_per_interval = 10;
    // For decisions on flows: every flow of a server with five slots at 20 ms
    // a request, and twice that.
    static constexpr std::uint32_t decisions_per_interval = 500;

    // True when an event of this name may be written now.
    auto admit(millis now, std::string_view name,
               std::uint32_t limit = events_per_interval) -> bool;

    // What was kept out in intervals that are over, each told once.
    auto take_suppressed(millis now) -> std::vector<suppressed_events>;

private:
    struct window
    {
        millis since;
        std::uint32_t admitted = 0;
        std::uint64_t suppressed = 0;
    };

    table<std::string, window> windows_;
};

} // namespace briardrum

#endif
