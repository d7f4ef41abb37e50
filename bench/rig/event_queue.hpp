#ifndef BRIARDRUM_BENCH_RIG_EVENT_QUEUE_HPP
#define BRIARDRUM_BENCH_RIG_EVENT_QUEUE_HPP

#include "core/core.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace briardrum::rig
{

// Actions in order of virtual time; those of the same time in the order they
// were added, so that a run depends on its seed alone.
class event_queue
{
public:
    using action = std::function<void()>;

    auto now() const -> millis
    {
        return now_;
    }

    auto at(millis when, action what) -> void;
    auto after(millis delay, action what) -> void;

    // Runs everything up to and including this time.
    auto run_until(millis end) -> void;

private:
    struct item
    {
        millis when;
        std::uint64_t order = 0;
        action what;

        auto operator<(const item& other) const -> bool
        {
            return when != other.when ? when > other.when : order > other.order;
        }
    };

    std::priority_queue<item> items_;
    std::uint64_t next_order_ = 0;
    millis now_;
};

} // namespace briardrum::rig

#endif
