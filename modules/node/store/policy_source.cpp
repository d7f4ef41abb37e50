#include "node/store/policy_source.hpp"

#include "wire/codec/control_codec.hpp"

#include <algorithm>
#include <utility>

namespace briardrum
{

policy_source::policy_source(
    std::string evacuation_prefix,
    std::function<void(const stored_policy&)> on_stored)
    : prefix_(std::move(evacuation_prefix)), on_stored_(std::move(on_stored))
{
}

auto policy_source::on_limits(std::vector<service_warm_up> limits,
                              store_revision at) -> void
{
    if (limits_ != limits)
    {
        changed_at_ = std::max(changed_at_, at);
    }
    limits_read_ = true;
    limits_ = std::move(limits);
}

auto policy_source::set_known_limits(std::vector<service_warm_up> limits)
    -> void
{
    if (!limits_read_)
    {
        limits_ = std::move(limits);
    }
}

// Keys that have been removed leave no trace in a read, so the revision of the
// read is the first at which the content is certain.
auto policy_source::on_read(const store_range_result& result) -> void
{
    evacuated_.clear();
    for (const auto& it : result.values)
    {
        if (auto name = data_centre_of(it.key); !name.empty())
        {
            evacuated_.insert(std::move(name));
        }
    }
    changed_at_ = result.revision;
    report(result.era, result.revision);
}

auto policy_source::on_events(const store_watch_batch& batch) -> void
{
    for (const auto& it : batch.events)
    {
        const auto name = data_centre_of(it.key);
        if (name.empty())
        {
            continue;
        }
        const auto changed = it.removed ? evacuated_.erase(name) > 0
                                        : evacuated_.insert(name).second;
        if (changed)
        {
            changed_at_ = std::max(changed_at_, it.mod_revision);
        }
    }
    report(batch.era, std::max(batch.revision, changed_at_));
}

auto policy_source::report(store_era era, store_revision confirmed) -> void
{
    if (!limits_.has_value())
    {
        return;
    }
    stored_policy out;
    out.policy.era = era;
    out.policy.revision = changed_at_;
    out.policy.evacuated.assign(evacuated_.begin(), evacuated_.end());
    out.policy.warm_up = *limits_;
    out.confirmed_revision = confirmed;
    on_stored_(out);
}

// Returns an empty name for any other key, and for a name that no member can
// have.
auto policy_source::data_centre_of(const std::string& key) const -> std::string
{
    if (!key.starts_with(prefix_) ||
        key.size() - prefix_.size() > member_text_bytes_max)
    {
        return "";
    }
    return key.substr(prefix_.size());
}

} // namespace briardrum
