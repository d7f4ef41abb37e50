#include "node/distribution/distributor_hooks.hpp"

#include "membership/membership.hpp"

namespace briardrum
{

auto make_distributor_hooks(member_view& members) -> distributor_hooks
{
    distributor_hooks out;
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
