#include "report/page/page_rows.hpp"

#include "config/text/entity_text.hpp"
#include "report/format/numbers.hpp"

#include <algorithm>

namespace briardrum
{

namespace
{

constexpr double ppm_per_unit = 1000000;

auto objective_text(const service_day& service) -> std::string
{
    const auto share = service.objective.objective_ppm / ppm_per_unit;
    return format_percent(share, 2) + " answered within " +
           format_duration(service.objective.latency);
}

auto requests_text(const service_day& service) -> std::string
{
    const auto total = service.counts.total();
    if (total == 0)
    {
        return "none";
    }
    const auto good = total - service.counts.bad();
    const auto share = static_cast<double>(good) / static_cast<double>(total);
    return format_count(total) + ", " + format_percent(share, 3) + " good";
}

// Counts of each bad result that occurred.
auto bad_text(const service_day& service) -> std::string
{
    std::string out;
    for (std::size_t n = 1; n < request_result_count; ++n)
    {
        const auto result = static_cast<request_result>(n);
        const auto count = service.counts.count(result);
        if (count > 0)
        {
            auto name = std::string(to_string(result));
            std::replace(name.begin(), name.end(), '_', ' ');
            out += out.empty() ? "" : ", ";
            out += format_count(count) + " " + name;
        }
    }
    return out.empty() ? "none" : out;
}

auto burn_text(const service_day& service) -> std::string
{
    const auto& burn = service.burn;
    return format_number(burn.five_minutes, 1) + " over 5 min, " +
           format_number(burn.hour, 1) + " over 1 h, " +
           format_number(burn.six_hours, 1) + " over 6 h, " +
           format_number(burn.day, 1) + " over a day";
}

auto latency_text(const service_day& service) -> std::string
{
    const auto& latency = service.counts.latency;
    if (service.counts.answered() == 0)
    {
        return "none answered";
    }
    return "half within " + format_duration(latency.percentile(0.5)) +
           ", 95% within " + format_duration(latency.percentile(0.95)) +
           ", 99% within " + format_duration(latency.percentile(0.99));
}

auto imbalance_text(const service_day& service) -> std::string
{
    const auto servers = std::to_string(service.servers) +
                         (service.servers == 1 ? " server" : " servers");
    if (!service.imbalance)
    {
        return servers + ", nothing to compare";
    }
    return servers + ", busiest at " + format_number(*service.imbalance, 2) +
           " times the mean";
}

} // namespace

auto status_text_of(const service_day& service) -> std::string
{
    if (service.counts.total() == 0 && service.problems.empty())
    {
        return "no requests";
    }
    std::string out;
    for (const auto& problem : service.problems)
    {
        out += out.empty() ? "" : ", ";
        out += problem;
    }
    return out.empty() ? "within its objective" : out;
}

auto rows_of(const service_day& service) -> std::vector<page_row>
{
    return {{"objective", objective_text(service)},
            {"requests", requests_text(service)},
            {"not good", bad_text(service)},
            {"budget used", format_percent(service.budget_used, 1)},
            {"burn rate", burn_text(service)},
            {"latency", latency_text(service)},
            {"broken flows", format_count(service.counts.broken_flows)},
            {"balance", imbalance_text(service)}};
}

auto urgency_rows_of(const service_day& service) -> std::vector<page_row>
{
    std::vector<page_row> out;
    for (std::size_t n = 0; n < urgency_count; ++n)
    {
        const auto level = static_cast<urgency>(n);
        const auto refused =
            service.counts.count(level, request_result::refused);
        const auto dropped =
            service.counts.count(level, request_result::dropped);
        if (refused + dropped > 0)
        {
            out.push_back({std::string(to_string(level)) + " work",
                           format_count(refused) + " refused, " +
                               format_count(dropped) + " dropped"});
        }
    }
    return out;
}

auto period_of(const day_report& report) -> std::string
{
    const auto end = std::min(report.day.to, report.day.now);
    return format_date(report.day.from) + ", 00:00 to " +
           format_time(end, report.day.from) + " UTC";
}

auto preset_rows_of(const day_report& report) -> std::vector<page_row>
{
    std::vector<page_row> out;
    const auto start = report.day.from;
    for (const auto& item : report.presets)
    {
        out.push_back({format_time(item.from, start) + " to " +
                           format_time(item.to, start),
                       item.preset});
    }
    if (out.empty())
    {
        out.push_back({"unknown", "no process reported one"});
    }
    return out;
}

auto gap_rows_of(const day_report& report) -> std::vector<page_row>
{
    std::vector<page_row> out;
    const auto start = report.day.from;
    for (const auto& item : report.coverage_gaps)
    {
        out.push_back({item.process, format_time(item.from, start) + " to " +
                                         format_time(item.to, start)});
    }
    for (const auto& name : report.unreachable)
    {
        out.push_back({name, "not reached"});
    }
    return out;
}

auto lagging_rows_of(const day_report& report) -> std::vector<page_row>
{
    std::vector<page_row> out;
    for (const auto& item : report.lagging)
    {
        out.push_back({item.process,
                       "configuration " + std::to_string(item.version) +
                           ", the newest is " + std::to_string(item.newest)});
    }
    return out;
}

} // namespace briardrum
