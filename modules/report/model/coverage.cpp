#include "report/model/coverage.hpp"

#include <algorithm>

namespace briardrum
{

namespace
{

// When coverage of a process resumes after its first incarnation in rest: at
// the start of its next incarnation, or at the end of the reported period.
auto next_coverage_start(const report_day& day,
                         std::span<const process_report> rest) -> millis
{
    const auto end = std::min(day.to, day.now);
    if (rest.size() > 1 && rest[1].process == rest[0].process)
    {
        return std::min(end, rest[1].from);
    }
    return end;
}

} // namespace

auto coverage_gaps(const report_day& day,
                   std::span<const process_report> reports)
    -> std::vector<coverage_gap>
{
    std::vector<coverage_gap> out;
    for (std::size_t n = 0; n < reports.size(); ++n)
    {
        const auto& item = reports[n];
        const auto from = std::max(day.from, item.until);
        const auto to = next_coverage_start(day, reports.subspan(n));
        // A process that reported within the last interval has no gap yet.
        const auto last =
            n + 1 == reports.size() || reports[n + 1].process != item.process;
        const auto allowed = last ? report_interval : millis{};
        if (!item.finished && to - from > allowed)
        {
            out.push_back({item.process, from, to});
        }
    }
    return out;
}

auto lagging_processes(const report_day& day,
                       std::span<const process_report> reports)
    -> std::vector<lagging_process>
{
    configuration_version newest = 0;
    for (const auto& item : reports)
    {
        newest = std::max(newest, item.version);
    }
    std::vector<lagging_process> out;
    for (const auto& item : reports)
    {
        const auto current =
            !item.finished && item.until + report_interval >= day.now;
        if (current && item.version < newest)
        {
            out.push_back({item.process, item.version, newest});
        }
    }
    return out;
}

auto preset_spans(const report_day& day,
                  std::span<const process_report> reports)
    -> std::vector<preset_span>
{
    // When any process first adopted each version that changed the preset.
    std::map<configuration_version, preset_change> changes;
    for (const auto& report : reports)
    {
        for (const auto& item : report.presets)
        {
            auto& known = changes.try_emplace(item.version, item).first->second;
            known.from = std::min(known.from, item.from);
        }
    }
    std::vector<preset_span> out;
    const auto end = std::min(day.to, day.now);
    for (const auto& [version, item] : changes)
    {
        if (!out.empty())
        {
            out.back().to = std::max(item.from, out.back().from);
        }
        if (out.empty() || out.back().preset != item.preset)
        {
            out.push_back({item.preset, std::max(day.from, item.from), end});
        }
        out.back().to = end;
    }
    std::erase_if(out,
                  [&](const preset_span& item)
                  {
                      return item.to <= day.from || item.from >= end;
                  });
    return out;
}

} // namespace briardrum
