#ifndef BRIARDRUM_ROUTING_CHOICE_RENDEZVOUS_HPP
#define BRIARDRUM_ROUTING_CHOICE_RENDEZVOUS_HPP

#include "core/core.hpp"

#include <span>
#include <vector>

namespace briardrum
{

// A server that may get flows. A weight of 0 takes it out of the choice.
struct candidate
{
    member_id id = 0;
    std::uint32_t weight = 1;
};

// Weighted rendezvous hashing: every process that knows the same candidates
// finds the same order for a flow, and one candidate more or less moves only
// the flows that it wins or won.

// The first of the order, or 0 when there is no candidate with a weight.
auto rendezvous_first(const flow_key& flow, std::span<const candidate> from)
    -> member_id;

// All candidates with a weight, best first.
auto rendezvous_order(const flow_key& flow, std::span<const candidate> from)
    -> std::vector<member_id>;

} // namespace briardrum

#endif
