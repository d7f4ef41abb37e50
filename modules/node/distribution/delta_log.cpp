#include "node/distribution/delta_log.hpp"

#include <map>
#include <utility>

namespace briardrum
{

auto payload_size(std::span<const configuration_change> changes) -> std::size_t
{
    std::size_t out = 0;
    for (const auto& change : changes)
    {
        out += change.key.size() + change.value.size();
    }
    return out;
}

delta_log::delta_log(std::size_t bytes_max) : bytes_max_(bytes_max) {}

auto delta_log::add(configuration_version from, configuration_version to,
                    std::vector<configuration_change> changes) -> void
{
    // The caller passed versions that do not increase.
    BRIARDRUM_INVARIANT(from < to);
    if (!steps_.empty() && steps_.back().to != from)
    {
        steps_.clear();
        bytes_ = 0;
    }
    bytes_ += payload_size(changes);
    steps_.push_back({from, to, std::move(changes)});
    while (bytes_ > bytes_max_ && !steps_.empty())
    {
        bytes_ -= payload_size(steps_.front().changes);
        steps_.pop_front();
    }
}

auto delta_log::since(configuration_version from) const
    -> std::optional<std::vector<configuration_change>>
{
    if (steps_.empty() || steps_.front().from > from)
    {
        return std::nullopt;
    }
    std::map<std::string_view, const configuration_change*> latest_changes;
    for (const auto& item : steps_)
    {
        if (item.to <= from)
        {
            continue;
        }
        for (const auto& change : item.changes)
        {
            latest_changes[change.key] = &change;
        }
    }
    std::vector<configuration_change> out;
    for (const auto& [key, change] : latest_changes)
    {
        if (key != root_key)
        {
            out.push_back(*change);
        }
    }
    const auto root = latest_changes.find(root_key);
    if (root != latest_changes.end())
    {
        out.push_back(*root->second);
    }
    return out;
}

auto delta_log::bytes() const -> std::size_t
{
    return bytes_;
}

} // namespace briardrum
