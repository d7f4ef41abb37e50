#ifndef BRIARDRUM_ROUTING_CHOICE_RENDEZVOUS_HPP
#define BRIARDRUM_ROUTING_CHOICE_RENDEZVOUS_HPP

#include "core/core.hpp"

#include <span>
#include <vector>

namespace briardrum
{

// A server that may receive flows. A weight of 0 excludes it.
struct candidate
{
    member_id id = 0;
    std::uint32_t weight = 1;
};

// Weighted rendezvous hashing: all processes that know the same candidates
// compute the same order for a flow, and adding or removing a candidate moves
// only the flows that it gains or loses.

// Returns the first candidate of the order, or 0 if no candidate has a weight.
auto rendezvous_first(const flow_key& flow, std::span<const candidate> from)
    -> member_id;

// Returns all candidates with a weight, best first.
auto rendezvous_order(const flow_key& flow, std::span<const candidate> from)
    -> std::vector<member_id>;

} // namespace briardrum

#endif
