#include "routing/choice/service_targets.hpp"

#include <algorithm>

namespace briardrum
{

auto service_targets::refresh(const member_view& members,
                              const std::string& service_name) -> void
{
    if (members.epoch() == epoch_)
    {
        return;
    }
    epoch_ = members.epoch();
    candidates_.refresh(members, service_name);
    targets_.clear();
    for (const auto id : members.agents_of(service_name))
    {
        const auto& record = *members.find(id);
        targets_.push_back({id, record.incarnation, record.data_address,
                            record.state == member_state::suspect});
    }
}

auto service_targets::find(member_id id) const -> const service_target*
{
    const auto it = std::lower_bound(targets_.begin(), targets_.end(), id,
                                     [](const auto& item, member_id searched_id)
                                     {
                                         return item.id < searched_id;
                                     });
    return it == targets_.end() || it->id != id ? nullptr : &*it;
}

auto service_targets::home_of(const flow_key& flow) const
    -> const service_target*
{
    const auto id = rendezvous_first(flow, candidates_.serving());
    return id == 0 ? nullptr : find(id);
}

auto service_targets::placement_target(const flow_key& flow,
                                       std::size_t tried) const
    -> const service_target*
{
    const auto* home = home_of(flow);
    if (home == nullptr || (tried == 0 && !home->suspect))
    {
        return home;
    }
    const auto order = rendezvous_order(flow, candidates_.serving());
    std::vector<const service_target*> available;
    for (const auto id : order)
    {
        const auto* target = find(id);
        if (target != nullptr && !target->suspect)
        {
            available.push_back(target);
        }
    }
    return available.empty() ? home : available[tried % available.size()];
}

auto service_targets::any_target(const flow_key& flow) const
    -> const service_target*
{
    std::vector<candidate> all;
    for (const auto& it : targets_)
    {
        all.push_back({it.id, it.suspect ? 0U : 1U});
    }
    const auto id = rendezvous_first(flow, all);
    return id == 0 ? nullptr : find(id);
}

auto service_targets::size() const -> std::size_t
{
    return targets_.size();
}

} // namespace briardrum
