#include "packets/model/known_members.hpp"

#include <algorithm>

namespace briardrum
{

namespace
{

// As many short ids as fit into a datagram beside the flows of a query.
constexpr std::size_t listed_members_max = 320;

} // namespace

auto short_id_of(member_id id) -> std::uint32_t
{
    return static_cast<std::uint32_t>(id);
}

auto list_known_members(const member_view& members)
    -> std::vector<std::uint32_t>
{
    std::vector<std::uint32_t> out;
    for (const auto id : members.live())
    {
        const auto* record = members.find(id);
        if (record != nullptr && answers_flow_queries(*record))
        {
            out.push_back(short_id_of(id));
        }
    }
    std::sort(out.begin(), out.end());
    return out;
}

auto fill_members(const member_view& members, const flow_query_message& query,
                  flow_reply_message& reply) -> void
{
    reply.members_digest = members.members_digest();
    if (reply.members_digest == query.members_digest)
    {
        return;
    }
    reply.members = list_known_members(members);
    if (reply.members.size() > listed_members_max)
    {
        reply.members.clear();
    }
}

} // namespace briardrum
