#ifndef BRIARDRUM_REPORT_MODEL_DAY_REPORT_HPP
#define BRIARDRUM_REPORT_MODEL_DAY_REPORT_HPP

#include "report/model/process_report.hpp"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace briardrum
{

// The day that a page is about, in wall clock time.
struct report_day
{
    millis from;
    millis to;
    // When the page is written; the day may not be over.
    millis now;
};

// Good and bad requests during one step of a plot.
struct day_point
{
    millis start;
    std::uint64_t total = 0;
    std::uint64_t bad = 0;
};

// How fast the error budget burns over the last so much time: 1 uses it up
// exactly by the end of the objective's period.
struct burn_rates
{
    double five_minutes = 0;
    double hour = 0;
    double six_hours = 0;
    double day = 0;
};

// One service's day.
struct service_day
{
    std::string name;
    service_objective objective;
    service_counts counts;
    // Share of the day's error budget that is used: 1 is all of it.
    double budget_used = 0;
    burn_rates burn;
    // Busiest server over the mean, per slot and minute of presence; none
    // with fewer than two servers.
    std::optional<double> imbalance;
    std::size_t servers = 0;
    std::vector<day_point> points;
    // What did not go well, in words; empty when all did.
    std::vector<std::string> problems;
};

// A preset was in force from here to there.
struct preset_span
{
    std::string preset;
    millis from;
    millis to;
};

// Nothing is known of what a process counted in this time.
struct coverage_gap
{
    std::string process;
    millis from;
    millis to;
};

// A process that holds an older configuration than others.
struct lagging_process
{
    std::string process;
    configuration_version version = 0;
    configuration_version newest = 0;
};

// The page's content.
struct day_report
{
    report_day day;
    bool went_well = true;
    // "Today went well: ..." or what did not.
    std::string headline;
    std::vector<service_day> services;
    std::vector<preset_span> presets;
    std::vector<coverage_gap> coverage_gaps;
    std::vector<lagging_process> lagging;
    // Processes that could not be asked.
    std::vector<std::string> unreachable;
};

// Works out the day from merged reports and the names of those that could not
// be asked. Pure: the same input gives the same page.
auto make_day_report(const report_day& day,
                     std::span<const process_report> reports,
                     std::span<const std::string> unreachable) -> day_report;

} // namespace briardrum

#endif
