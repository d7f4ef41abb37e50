#include "node/balancer/announcement_check.hpp"

#include <utility>

namespace briardrum
{

announcement_check::announcement_check(event_sink events)
    : events_(std::move(events))
{
}

auto announcement_check::check(const configuration& config,
                               const member_record& record) -> void
{
    const auto refused = record.kind == member_kind::agent &&
                         is_live(record.state) &&
                         config.find(record.service_name) == nullptr;
    if (!refused)
    {
        reported_.erase(record.id);
        return;
    }
    const auto [it, added] =
        reported_.try_emplace(record.id, record.incarnation);
    if (!added && it->second == record.incarnation)
    {
        return;
    }
    it->second = record.incarnation;
    if (events_)
    {
        events_(event("announcement_refused", event_level::warning)
                    .with("member", record.name)
                    .with("service", record.service_name)
                    .with("cause", "no such service"));
    }
}

auto announcement_check::check_all(const configuration& config,
                                   const member_view& members) -> void
{
    for (const auto& record : members.records())
    {
        check(config, record);
    }
}

} // namespace briardrum
