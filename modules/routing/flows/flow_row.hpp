#ifndef BRIARDRUM_ROUTING_FLOWS_FLOW_ROW_HPP
#define BRIARDRUM_ROUTING_FLOWS_FLOW_ROW_HPP

#include "core/core.hpp"
#include "wire/wire.hpp"

#include <vector>

namespace briardrum
{

// A flow as its owner holds it.
struct flow_row
{
    flow_generation generation = 1;
    // Earlier owners whose cookies are still honoured here.
    std::vector<flow_owner> owners;
    // The balancer that forwarded last; answers go back through it.
    member_id balancer = 0;
    millis last_used;
    // A block-wise transfer goes on: the flow stays here until this time.
    millis busy_until;
    // An upload's first block was admitted here: its later blocks need no
    // cookie until this time.
    millis upload_until;
    // Frozen while it is handed over; its datagrams are held.
    bool handing_over = false;
    // Members told that this flow lives here, with the life they had then.
    std::vector<std::pair<member_id, incarnation>> announced_to;
};

using flow_table = table<flow_key, flow_row>;

} // namespace briardrum

#endif
