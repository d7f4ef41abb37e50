#ifndef BRIARDRUM_MEMBERSHIP_RECORDS_LISTED_AGENT_HPP
#define BRIARDRUM_MEMBERSHIP_RECORDS_LISTED_AGENT_HPP

#include "core/core.hpp"
#include "wire/messages/member_record.hpp"

namespace briardrum
{

// An agent that is registered in the store, whether it is known to this process
// or not.
struct listed_agent
{
    member_id id = 0;
    // As the entry states it, which may come from another writer; none if it
    // cannot be read.
    endpoint control_address;

    auto operator==(const listed_agent&) const -> bool = default;
};

} // namespace briardrum

#endif
