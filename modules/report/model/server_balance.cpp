#include "report/model/server_balance.hpp"

#include <algorithm>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace briardrum
{

namespace
{

namespace acc = boost::accumulators;

// Answers and uptime of one server, over all its incarnations of the day.
struct server_work
{
    std::uint64_t answered = 0;
    double slot_minutes = 0;
};

auto add_incarnation(const report_day& day, const process_report& report,
                     server_work& work) -> void
{
    const auto from = std::max(day.from, report.from);
    const auto until = std::min(day.to, report.until);
    if (until > from)
    {
        const auto span = static_cast<double>((until - from).count);
        const auto minute = static_cast<double>(minutes(1).count);
        work.slot_minutes += span / minute * std::max(1U, report.slots);
    }
    for (const auto& [start, services] : report.intervals)
    {
        const auto it = services.find(report.service);
        if (start >= day.from && start < day.to && it != services.end())
        {
            work.answered += it->second.answered();
        }
    }
}

} // namespace

auto balance_of(const report_day& day, const std::string& service,
                std::span<const process_report> reports) -> server_balance
{
    std::map<std::string, server_work> servers;
    for (const auto& item : reports)
    {
        if (item.kind == member_kind::agent && item.service == service)
        {
            add_incarnation(day, item, servers[item.process]);
        }
    }
    acc::accumulator_set<double, acc::stats<acc::tag::max, acc::tag::mean>>
        rates;
    server_balance out;
    for (const auto& [name, work] : servers)
    {
        if (work.slot_minutes > 0)
        {
            rates(static_cast<double>(work.answered) / work.slot_minutes);
            ++out.servers;
        }
    }
    if (out.servers > 1 && acc::mean(rates) > 0)
    {
        out.imbalance = acc::max(rates) / acc::mean(rates);
    }
    return out;
}

} // namespace briardrum
