#include "packets/model/route_table.hpp"

namespace briardrum
{

auto route::service_of(const flow_key& flow) const -> const std::string&
{
    // The caller built a route without targets.
    BRIARDRUM_INVARIANT(!targets.empty());
    std::uint64_t total = 0;
    for (const auto& it : targets)
    {
        total += it.weight;
    }
    if (targets.size() == 1 || total == 0)
    {
        return targets.front().service_name;
    }
    auto position = (std::hash<flow_key>{}(flow) >> 16U) % total;
    for (const auto& it : targets)
    {
        if (position < it.weight)
        {
            return it.service_name;
        }
        position -= it.weight;
    }
    return targets.back().service_name;
}

auto route_table::find(const endpoint& address) const -> const route*
{
    const auto it = routes.find(address);
    return it == routes.end() ? nullptr : &it->second;
}

} // namespace briardrum
