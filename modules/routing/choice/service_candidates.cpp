#include "routing/choice/service_candidates.hpp"

#include <algorithm>
#include <utility>

namespace briardrum
{

namespace
{

constexpr std::uint8_t full_weight = 100;

} // namespace

auto service_candidates::entry::operator==(const entry& other) const -> bool
{
    return item.id == other.item.id && item.weight == other.item.weight &&
           life == other.life && joining == other.joining;
}

// Weights are whole numbers, so that reduced ones are counted in hundredths of
// a slot. While none is reduced, the slots themselves are the weights, which
// gives the same order to the last bit as before weights could be reduced.
auto service_candidates::scale_weights(std::span<entry> entries) -> void
{
    const auto any_reduced = std::any_of(entries.begin(), entries.end(),
                                         [](const entry& it)
                                         {
                                             return it.percent != full_weight;
                                         });
    if (!any_reduced)
    {
        return;
    }
    for (auto& it : entries)
    {
        const auto percent = std::max<std::uint32_t>(1, it.percent);
        it.item.weight *= percent;
    }
}

auto service_candidates::refresh(const member_view& members,
                                 const std::string& service_name) -> bool
{
    if (members.epoch() == epoch_)
    {
        return false;
    }
    epoch_ = members.epoch();
    std::vector<entry> next;
    for (const auto id : members.agents_of(service_name))
    {
        const auto* record = members.find(id);
        if (record == nullptr || record->state == member_state::draining)
        {
            continue;
        }
        const auto slots = std::max<std::uint32_t>(1, record->slots);
        next.push_back({{id, slots},
                        record->incarnation,
                        record->weight_percent,
                        record->state == member_state::joining});
    }
    scale_weights(next);
    if (next == entries_)
    {
        return false;
    }
    entries_ = std::move(next);
    serving_.clear();
    with_joining_.clear();
    for (const auto& it : entries_)
    {
        with_joining_.push_back(it.item);
        if (!it.joining)
        {
            serving_.push_back(it.item);
        }
    }
    return true;
}

auto service_candidates::serving() const -> std::span<const candidate>
{
    return serving_;
}

auto service_candidates::with_joining() const -> std::span<const candidate>
{
    return with_joining_;
}

auto service_candidates::is_serving(member_id id) const -> bool
{
    return std::any_of(serving_.begin(), serving_.end(),
                       [&](const candidate& item)
                       {
                           return item.id == id;
                       });
}

} // namespace briardrum
