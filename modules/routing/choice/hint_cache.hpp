#ifndef BRIARDRUM_ROUTING_CHOICE_HINT_CACHE_HPP
#define BRIARDRUM_ROUTING_CHOICE_HINT_CACHE_HPP

#include "core/core.hpp"

#include <vector>

namespace briardrum
{

// Direct-mapped cache of the agent that last answered each flow. A flow maps to
// one slot, and a newer flow overwrites an older one. A lost hint only costs
// one extra hop between agents, so no state has to be kept for each flow.
class hint_cache
{
public:
    // slot_count must be a power of two. A slot takes 24 bytes.
    explicit hint_cache(std::size_t slot_count);

    auto learn(const flow_key& flow, member_id agent) -> void;

    // Returns the agent that last answered the flow, or 0.
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
