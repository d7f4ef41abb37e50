#include "config/model/configuration.hpp"

#include <algorithm>

namespace briardrum
{

namespace
{

template <typename Predicate>
auto find_service(const std::map<std::string, service>& services,
                  Predicate predicate) -> const service*
{
    const auto it = std::find_if(services.begin(), services.end(),
                                 [&](const auto& item)
                                 {
                                     return predicate(item.second);
                                 });
    return it == services.end() ? nullptr : &it->second;
}

} // namespace

auto configuration::find(service_id id) const -> const service*
{
    return find_service(services,
                        [&](const service& item)
                        {
                            return item.id == id;
                        });
}

auto configuration::find(const endpoint& address) const -> const service*
{
    return find_service(services,
                        [&](const service& item)
                        {
                            return item.address == address;
                        });
}

auto configuration::find(const std::string& name) const -> const service*
{
    const auto it = services.find(name);
    return it == services.end() ? nullptr : &it->second;
}

auto configuration::policy_of(service_id id) const -> service_policy
{
    const auto* found = find(id);
    const auto active = presets.find(in_force);
    if (found == nullptr || active == presets.end())
    {
        return {};
    }
    const auto it = active->second.policies.find(found->name);
    return it == active->second.policies.end() ? service_policy{} : it->second;
}

} // namespace briardrum
