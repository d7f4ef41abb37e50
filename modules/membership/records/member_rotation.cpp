#include "membership/records/member_rotation.hpp"

#include <utility>

namespace briardrum
{

auto member_rotation::next(
    random_source& random,
    const std::function<std::vector<member_id>()>& refill,
    const std::function<bool(member_id)>& usable) -> member_id
{
    if (const auto id = take(usable); id != 0)
    {
        return id;
    }
    order_ = refill();
    for (auto n = order_.size(); n > 1; --n)
    {
        std::swap(order_[n - 1], order_[random.below(n)]);
    }
    return take(usable);
}

auto member_rotation::take(const std::function<bool(member_id)>& usable)
    -> member_id
{
    while (!order_.empty())
    {
        const auto id = order_.back();
        order_.pop_back();
        if (usable(id))
        {
            return id;
        }
    }
    return 0;
}

} // namespace briardrum
