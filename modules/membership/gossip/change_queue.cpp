#include "membership/gossip/change_queue.hpp"

#include <algorithm>

namespace briardrum
{

auto change_queue::add(member_id id, send_counts sends) -> void
{
    const auto it = std::find_if(pending_.begin(), pending_.end(),
                                 [&](const pending_change& item)
                                 {
                                     return item.id == id;
                                 });
    if (it != pending_.end())
    {
        it->sends_left = sends;
        return;
    }
    pending_.push_back({id, sends});
}

auto change_queue::on_received(member_id id) -> void
{
    for (auto& item : pending_)
    {
        auto& sends_left =
            item.sends_left[static_cast<std::size_t>(gossip_scope::local)];
        if (item.id == id && sends_left > 0)
        {
            --sends_left;
        }
    }
}

auto change_queue::take(gossip_scope scope, std::size_t n)
    -> std::vector<member_id>
{
    const auto index = static_cast<std::size_t>(scope);
    std::vector<pending_change*> due;
    for (auto& item : pending_)
    {
        if (item.sends_left[index] > 0)
        {
            due.push_back(&item);
        }
    }
    n = std::min(n, due.size());
    std::partial_sort(
        due.begin(), due.begin() + static_cast<long>(n), due.end(),
        [&](const auto* a, const auto* b)
        {
            return a->sends_left[index] != b->sends_left[index]
                       ? a->sends_left[index] > b->sends_left[index]
                       : a->id < b->id;
        });
    std::vector<member_id> ids;
    for (std::size_t i = 0; i < n; ++i)
    {
        --due[i]->sends_left[index];
        ids.push_back(due[i]->id);
    }
    drop_finished();
    return ids;
}

auto change_queue::clear(gossip_scope scope) -> void
{
    for (auto& item : pending_)
    {
        item.sends_left[static_cast<std::size_t>(scope)] = 0;
    }
    drop_finished();
}

auto change_queue::any(gossip_scope scope) const -> bool
{
    const auto index = static_cast<std::size_t>(scope);
    return std::any_of(pending_.begin(), pending_.end(),
                       [&](const pending_change& item)
                       {
                           return item.sends_left[index] > 0;
                       });
}

auto change_queue::drop_finished() -> void
{
    std::erase_if(pending_,
                  [](const pending_change& item)
                  {
                      return item.sends_left == send_counts{};
                  });
}

} // namespace briardrum
