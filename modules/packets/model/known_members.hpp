#ifndef BRIARDRUM_PACKETS_MODEL_KNOWN_MEMBERS_HPP
#define BRIARDRUM_PACKETS_MODEL_KNOWN_MEMBERS_HPP

#include "membership/membership.hpp"

namespace briardrum
{

// Returns the lower half of a member's id, by which replies list members.
auto short_id_of(member_id id) -> std::uint32_t;

// Returns the short ids of the live members that answer flow queries, sorted.
auto list_known_members(const member_view& members)
    -> std::vector<std::uint32_t>;

// Sets in a reply which live members are known here: their digest, and their
// list if the sender of the query knows others. The list is left out if it does
// not fit into a datagram; then the sender waits until both know the same.
auto fill_members(const member_view& members, const flow_query_message& query,
                  flow_reply_message& reply) -> void;

} // namespace briardrum

#endif
