#include "report/model/headline.hpp"

#include "report/format/numbers.hpp"

namespace briardrum
{

namespace
{

// Burn rate at which a month's budget is used up in about two days. When both
// the one-hour and the five-minute rate exceed it, the problem is ongoing.
constexpr double fast_burn_rate = 14.4;

auto plural(std::uint64_t n, const std::string& one, const std::string& many)
    -> std::string
{
    return format_count(n) + " " + (n == 1 ? one : many);
}

auto join(const std::vector<std::string>& parts) -> std::string
{
    std::string out;
    for (std::size_t n = 0; n < parts.size(); ++n)
    {
        const auto last = n + 1 == parts.size();
        out += n == 0 ? "" : last ? " and " : ", ";
        out += parts[n];
    }
    return out;
}

auto join_problems(const day_report& report) -> std::string
{
    std::string out;
    for (const auto& service : report.services)
    {
        if (!service.problems.empty())
        {
            out += out.empty() ? "" : "; ";
            out += service.name + " " + join(service.problems);
        }
    }
    return out;
}

auto total_requests(const day_report& report) -> std::uint64_t
{
    std::uint64_t sum = 0;
    for (const auto& service : report.services)
    {
        sum += service.counts.total();
    }
    return sum;
}

auto coverage_note(const day_report& report) -> std::string
{
    std::vector<std::string> parts;
    if (!report.coverage_gaps.empty())
    {
        parts.push_back(
            plural(report.coverage_gaps.size(), "stretch", "stretches") +
            " not counted");
    }
    if (!report.unreachable.empty())
    {
        parts.push_back(
            plural(report.unreachable.size(), "process", "processes") +
            " not reached");
    }
    return parts.empty() ? "" : " As far as is known: " + join(parts) + ".";
}

} // namespace

auto problems_of(const service_day& service) -> std::vector<std::string>
{
    std::vector<std::string> out;
    if (service.counts.broken_flows > 0)
    {
        out.push_back("broke " +
                      plural(service.counts.broken_flows, "flow", "flows"));
    }
    if (service.budget_used > 1)
    {
        out.push_back("used " + format_percent(service.budget_used, 0) +
                      " of its error budget");
    }
    if (service.burn.hour > fast_burn_rate &&
        service.burn.five_minutes > fast_burn_rate)
    {
        out.push_back("is burning it " +
                      format_number(service.burn.five_minutes, 1) +
                      " times too fast now");
    }
    return out;
}

auto add_headline(day_report& report) -> void
{
    const auto over = report.day.now >= report.day.to;
    const auto name = over ? format_date(report.day.from) : "Today";
    const auto problems = join_problems(report);
    const auto requests = total_requests(report);
    report.went_well = problems.empty();
    if (requests == 0 && problems.empty())
    {
        report.went_well = false;
        report.headline = name + ": nothing was counted.";
    }
    else if (report.went_well)
    {
        report.headline = name +
                          (over ? " went well: " : " is going well so far: ") +
                          "every service within its objective, no flow broken.";
    }
    else
    {
        report.headline =
            name + (over ? " did not go well: " : " is not going well: ") +
            problems + ".";
    }
    report.headline += coverage_note(report);
}

} // namespace briardrum
