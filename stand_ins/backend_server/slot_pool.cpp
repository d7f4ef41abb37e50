#include "stand_ins/backend_server/slot_pool.hpp"

#include <algorithm>

namespace briardrum
{

slot_pool::slot_pool(std::uint32_t slots) : free_at_(slots) {}

auto slot_pool::start(millis now, millis work) -> millis
{
    const auto it = std::min_element(free_at_.begin(), free_at_.end());
    *it = std::max(*it, now) + work;
    ends_.push_back(*it);
    return *it;
}

auto slot_pool::in_progress(millis now) -> std::size_t
{
    std::erase_if(ends_,
                  [&](millis end)
                  {
                      return end <= now;
                  });
    return ends_.size();
}

auto slot_pool::slots() const -> std::size_t
{
    return free_at_.size();
}

} // namespace briardrum
