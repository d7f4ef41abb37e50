#include "report/model/day_report.hpp"

#include "report/model/burn.hpp"
#include "report/model/coverage.hpp"
#include "report/model/headline.hpp"
#include "report/model/server_balance.hpp"

#include <algorithm>
#include <set>

namespace briardrum
{

namespace
{

auto service_names(const report_day& day,
                   std::span<const process_report> reports)
    -> std::set<std::string>
{
    std::set<std::string> out;
    for (const auto& report : reports)
    {
        for (const auto& [name, objective] : report.objectives)
        {
            out.insert(name);
        }
        for (const auto& [start, services] : report.intervals)
        {
            for (const auto& [name, counts] : services)
            {
                if (start >= day.from && start < day.to)
                {
                    out.insert(name);
                }
            }
        }
    }
    return out;
}

// The objective from the most recent report that has one.
auto objective_of(const std::string& service,
                  std::span<const process_report> reports) -> service_objective
{
    service_objective out;
    millis latest{INT64_MIN};
    for (const auto& report : reports)
    {
        const auto it = report.objectives.find(service);
        if (it != report.objectives.end() && report.until > latest)
        {
            latest = report.until;
            out = it->second;
        }
    }
    return out;
}

// Sums the counts of a service over all processes, in total and by interval.
auto add_counts(const report_day& day, std::span<const process_report> reports,
                service_day& out) -> void
{
    std::map<millis, day_point> points;
    for (const auto& report : reports)
    {
        for (const auto& [start, services] : report.intervals)
        {
            const auto it = services.find(out.name);
            if (start < day.from || start >= day.to || it == services.end())
            {
                continue;
            }
            out.counts.merge(it->second);
            auto& point = points[start];
            point.start = start;
            point.total += it->second.total();
            point.bad += it->second.bad();
        }
    }
    for (const auto& [start, point] : points)
    {
        out.points.push_back(point);
    }
}

auto make_service_day(const report_day& day, const std::string& name,
                      std::span<const process_report> reports) -> service_day
{
    service_day out;
    out.name = name;
    out.objective = objective_of(name, reports);
    add_counts(day, reports, out);
    const auto ppm = out.objective.objective_ppm;
    out.budget_used = burn_rate(out.counts.bad(), out.counts.total(), ppm);
    // The windows include the interval that is still being counted.
    const auto end = std::min(day.to, interval_of(day.now) + report_interval);
    out.burn = burn_rates_at(out.points, end, ppm);
    const auto balance = balance_of(day, name, reports);
    out.servers = balance.servers;
    out.imbalance = balance.imbalance;
    out.problems = problems_of(out);
    return out;
}

// Sorts by broken flows first, then by the share of the error budget used.
auto is_worse(const service_day& a, const service_day& b) -> bool
{
    if (a.counts.broken_flows != b.counts.broken_flows)
    {
        return a.counts.broken_flows > b.counts.broken_flows;
    }
    return a.budget_used > b.budget_used;
}

} // namespace

auto make_day_report(const report_day& day,
                     std::span<const process_report> reports,
                     std::span<const std::string> unreachable) -> day_report
{
    day_report out;
    out.day = day;
    for (const auto& name : service_names(day, reports))
    {
        out.services.push_back(make_service_day(day, name, reports));
    }
    std::stable_sort(out.services.begin(), out.services.end(), is_worse);
    out.presets = preset_spans(day, reports);
    out.coverage_gaps = coverage_gaps(day, reports);
    out.lagging = lagging_processes(day, reports);
    out.unreachable.assign(unreachable.begin(), unreachable.end());
    add_headline(out);
    return out;
}

} // namespace briardrum
