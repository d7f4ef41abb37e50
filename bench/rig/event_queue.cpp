#include "bench/rig/event_queue.hpp"

#include <utility>

namespace briardrum::rig
{

auto event_queue::at(millis when, action what) -> void
{
    items_.push({std::max(when, now_), next_order_++, std::move(what)});
}

auto event_queue::after(millis delay, action what) -> void
{
    at(now_ + delay, std::move(what));
}

auto event_queue::run_until(millis end) -> void
{
    while (!items_.empty() && items_.top().when <= end)
    {
        auto next = std::move(const_cast<item&>(items_.top()));
        items_.pop();
        now_ = next.when;
        next.what();
    }
    now_ = end;
}

} // namespace briardrum::rig
