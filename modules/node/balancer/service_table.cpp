#include "node/balancer/service_table.hpp"

#include <algorithm>

namespace briardrum
{

auto service_table::adopt(const configuration& next)
    -> std::vector<service_index>
{
    auto removed = remove_missing(next);
    for (const auto& [name, wanted] : next.services)
    {
        const auto known = by_id_.find(wanted.id);
        const auto index = known == by_id_.end() ? free_index() : known->second;
        auto& item = services_[index];
        if (item.id != wanted.id || item.name != wanted.name)
        {
            item = {};
        }
        item.id = wanted.id;
        item.name = wanted.name;
        item.address = wanted.address;
    }
    build_indices();
    return removed;
}

auto service_table::remove_missing(const configuration& next)
    -> std::vector<service_index>
{
    std::vector<service_index> removed;
    for (std::size_t n = 0; n < services_.size(); ++n)
    {
        auto& item = services_[n];
        if (item.id != 0 && next.find(item.id) == nullptr)
        {
            item = {};
            removed.push_back(static_cast<service_index>(n));
        }
    }
    build_indices();
    return removed;
}

auto service_table::free_index() -> service_index
{
    const auto it = std::find_if(services_.begin(), services_.end(),
                                 [](const balanced_service& item)
                                 {
                                     return item.id == 0;
                                 });
    if (it != services_.end())
    {
        return static_cast<service_index>(it - services_.begin());
    }
    services_.emplace_back();
    return static_cast<service_index>(services_.size() - 1);
}

auto service_table::build_indices() -> void
{
    by_address_.clear();
    by_id_.clear();
    for (std::size_t n = 0; n < services_.size(); ++n)
    {
        const auto& item = services_[n];
        if (item.id != 0)
        {
            by_address_[item.address] = static_cast<service_index>(n);
            by_id_[item.id] = static_cast<service_index>(n);
        }
    }
}

auto service_table::shares(const configuration& from) const
    -> std::vector<service_share>
{
    std::vector<service_share> out;
    for (const auto& item : services_)
    {
        const auto policy = from.policy_of(item.id);
        const auto used = item.id != 0;
        out.push_back({used ? policy.share_percent : 0, policy.level});
    }
    return out;
}

auto service_table::find(const endpoint& address) -> balanced_service*
{
    const auto it = by_address_.find(address);
    return it == by_address_.end() ? nullptr : &services_[it->second];
}

auto service_table::find(service_id id) -> balanced_service*
{
    const auto it = by_id_.find(id);
    return it == by_id_.end() ? nullptr : &services_[it->second];
}

auto service_table::index_of(const balanced_service& service) const
    -> service_index
{
    return static_cast<service_index>(&service - services_.data());
}

auto service_table::all() const -> const std::vector<balanced_service>&
{
    return services_;
}

} // namespace briardrum
