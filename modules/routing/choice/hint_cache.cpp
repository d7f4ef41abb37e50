#include "routing/choice/hint_cache.hpp"

#include <bit>

namespace briardrum
{

hint_cache::hint_cache(std::size_t slot_count) : hints_(slot_count)
{
    // The caller passed a number of slots that is not a power of two.
    BRIARDRUM_INVARIANT(std::has_single_bit(slot_count));
}

auto hint_cache::slot_of(const flow_key& flow) const -> std::size_t
{
    const auto hash = std::hash<flow_key>{}(flow);
    return (hash ^ (hash >> 32U)) & (hints_.size() - 1);
}

auto hint_cache::learn(const flow_key& flow, member_id agent) -> void
{
    hints_[slot_of(flow)] = {flow, agent};
}

auto hint_cache::find(const flow_key& flow) const -> member_id
{
    const auto& it = hints_[slot_of(flow)];
    return it.flow == flow ? it.agent : 0;
}

auto hint_cache::forget(const flow_key& flow) -> void
{
    auto& it = hints_[slot_of(flow)];
    if (it.flow == flow)
    {
        it = {};
    }
}

} // namespace briardrum
