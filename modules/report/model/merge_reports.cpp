#include "report/model/merge_reports.hpp"

#include <algorithm>

namespace briardrum
{

namespace
{

auto merge_intervals(process_report& into, const process_report& from) -> void
{
    for (const auto& [start, services] : from.intervals)
    {
        auto& known = into.intervals[start];
        for (const auto& [name, counts] : services)
        {
            auto& own = known[name];
            const auto size = [](const service_counts& item)
            {
                return item.total() + item.broken_flows;
            };
            if (size(counts) > size(own))
            {
                own = counts;
            }
        }
    }
}

auto merge_presets(process_report& into, const process_report& from) -> void
{
    for (const auto& item : from.presets)
    {
        auto& known = into.presets;
        if (std::find(known.begin(), known.end(), item) == known.end())
        {
            known.push_back(item);
        }
    }
    std::sort(into.presets.begin(), into.presets.end(),
              [](const preset_change& a, const preset_change& b)
              {
                  return a.version < b.version;
              });
}

auto merge_one(process_report& into, const process_report& from) -> void
{
    if (from.until > into.until)
    {
        into.objectives = from.objectives;
        into.slots = from.slots;
        into.version = from.version;
        into.until = from.until;
    }
    into.finished = into.finished || from.finished;
    merge_presets(into, from);
    merge_intervals(into, from);
}

} // namespace

auto merge_reports(std::span<const process_report> reports)
    -> std::vector<process_report>
{
    std::map<std::pair<std::string, incarnation_number>, process_report>
        by_incarnation;
    for (const auto& item : reports)
    {
        const auto [it, inserted] =
            by_incarnation.try_emplace({item.process, item.incarnation}, item);
        if (!inserted)
        {
            merge_one(it->second, item);
        }
    }
    std::vector<process_report> out;
    out.reserve(by_incarnation.size());
    for (auto& [key, item] : by_incarnation)
    {
        out.push_back(std::move(item));
    }
    return out;
}

} // namespace briardrum
