#include "node/spread/spread_hooks.hpp"

#include "membership/membership.hpp"

namespace briardrum
{

auto spread_hooks_for(member_view& members) -> spread_hooks
{
    spread_hooks out;
    out.self = [&members]() -> const member_record&
    {
        return members.self();
    };
    out.records = [&members]
    {
        return members.records();
    };
    out.find = [&members](member_id id)
    {
        return members.find(id);
    };
    out.announce = [&members](millis now, configuration_version version)
    {
        members.set_held_version(now, version);
    };
    return out;
}

} // namespace briardrum
