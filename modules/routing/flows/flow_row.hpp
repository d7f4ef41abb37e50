#ifndef BRIARDRUM_ROUTING_FLOWS_FLOW_ROW_HPP
#define BRIARDRUM_ROUTING_FLOWS_FLOW_ROW_HPP

#include "core/core.hpp"
#include "wire/wire.hpp"

#include <vector>

namespace briardrum
{

// State of a flow at its owner.
struct flow_row
{
    flow_generation generation = 1;
    // Earlier owners whose cookies are still accepted here.
    std::vector<flow_owner> owners;
    // The balancer that last forwarded a datagram; answers are sent through it.
    member_id balancer = 0;
    millis last_used;
    // Until this time a block-wise transfer counts as in progress, and the flow
    // is not handed over.
    millis busy_until;
    // Until this time the later blocks of an upload need no cookie, because its
    // first block was admitted here.
    millis upload_until;
    // True while the flow is being handed over; its datagrams are held.
    bool handing_over = false;
    // Members that were told that this agent owns the flow, with their
    // incarnation at that time.
    std::vector<std::pair<member_id, incarnation_number>> announced_to;
};

using flow_table = table<flow_key, flow_row>;

} // namespace briardrum

#endif
