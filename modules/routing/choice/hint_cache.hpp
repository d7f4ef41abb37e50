#ifndef BRIARDRUM_ROUTING_CHOICE_HINT_CACHE_HPP
#define BRIARDRUM_ROUTING_CHOICE_HINT_CACHE_HPP

#include "core/core.hpp"

#include <vector>

namespace briardrum
{

// Which agent last answered a flow, for as many flows as fit. Every flow has
// one place; a newer flow takes an older one's. Losing a hint costs one hop
// between agents and nothing else, so it needs no memory of its own per flow.
class hint_cache
{
public:
    // A power of two of places, 32 bytes each.
    explicit hint_cache(std::size_t slot_count);

    auto learn(const flow_key& flow, member_id agent) -> void;

    // The agent that last answered the flow, or 0.
    auto find(const flow_key& flow) const -> member_id;

    auto forget(const flow_key& flow) -> void;

private:
    struct hint
    {
        flow_key flow;
        member_id agent = 0;
    };

    auto slot_of(const flow_key& flow) const -> std::size_t;

    std::vector<hint> hints_;
};

} // namespace briardrum

#endif
