#include "packets/agent/unconfirmed_incarnations.hpp"

#include <algorithm>

namespace briardrum
{

unconfirmed_incarnations::unconfirmed_incarnations(millis retention)
    : retention_(retention)
{
}

auto unconfirmed_incarnations::add(millis now,
                                   const server_heartbeat& heartbeat)
    -> unconfirmed_incarnation
{
    drop_old_rows(now);
    const auto it = std::find_if(
        rows_.begin(), rows_.end(),
        [&](const unconfirmed_incarnation& row)
        {
            return is_same_incarnation(row.newest, heartbeat) &&
                   row.newest.service_name == heartbeat.service_name;
        });
    unconfirmed_incarnation row{heartbeat, heartbeat.sequence, now, now};
    if (it != rows_.end())
    {
        row = *it;
        rows_.erase(it);
        if (heartbeat.sequence > row.newest.sequence)
        {
            row.newest = heartbeat;
            row.last_at = now;
            ++row.heartbeats;
        }
    }
    for (auto& other : rows_)
    {
        other.contradicted = true;
    }
    row.contradicted = row.contradicted || !rows_.empty();
    if (rows_.size() == rows_max)
    {
        rows_.erase(rows_.begin());
    }
    rows_.push_back(row);
    return row;
}

auto unconfirmed_incarnations::clear() -> void
{
    rows_.clear();
}

auto unconfirmed_incarnations::drop_old_rows(millis now) -> void
{
    std::erase_if(rows_,
                  [&](const unconfirmed_incarnation& row)
                  {
                      return now - row.last_at > retention_;
                  });
}

} // namespace briardrum
