#include "routing/flows/redirect_table.hpp"

namespace briardrum
{

auto redirect_table::set(millis now, const redirect_record& record) -> void
{
    auto& found = rows_.insert(record.key);
    const auto stale =
        found.owner == record.owner && found.generation > record.generation;
    if (stale)
    {
        return;
    }
    found = {record.owner, record.owner_incarnation, record.generation, now};
}

auto redirect_table::touch(millis now, const flow_key& key) -> const row*
{
    auto* found = rows_.find(key);
    if (found != nullptr)
    {
        found->last_used = now;
    }
    return found;
}

auto redirect_table::find(const flow_key& key) const -> const row*
{
    return rows_.find(key);
}

auto redirect_table::erase(const flow_key& key) -> void
{
    rows_.erase(key);
}

auto redirect_table::expire(millis now, millis idle) -> void
{
    rows_.erase_if(
        [&](const flow_key&, const row& item)
        {
            return now - item.last_used > idle;
        });
}

auto redirect_table::rows() const -> const table<flow_key, row>&
{
    return rows_;
}

} // namespace briardrum
