#ifndef BRIARDRUM_REPORT_MODEL_DAY_REPORT_HPP
#define BRIARDRUM_REPORT_MODEL_DAY_REPORT_HPP

#include "report/model/process_report.hpp"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace briardrum
{

// The day that a report covers, in wall clock time.
struct report_day
{
    millis from;
    millis to;
    // When the report is made; the day may not be over.
    millis now;
};

// Total and bad requests in one interval.
struct day_point
{
    millis start;
    std::uint64_t total = 0;
    std::uint64_t bad = 0;
};

// Burn rates of an error budget over windows of different lengths. A rate of
// 1 uses up the budget exactly by the end of the objective's period.
struct burn_rates
{
    double five_minutes = 0;
    double hour = 0;
    double six_hours = 0;
    double day = 0;
};

// Results of one service over one day.
struct service_day
{
    std::string name;
    service_objective objective;
    service_counts counts;
    // Fraction of the day's error budget that is used; 1 is all of it.
    double budget_used = 0;
    burn_rates burn;
    // Answers of the busiest server relative to the mean, per slot and minute
    // of uptime. Empty with fewer than two servers.
    std::optional<double> imbalance;
    std::size_t servers = 0;
    std::vector<day_point> points;
    // Descriptions of what went wrong, for the page; empty if nothing did.
    std::vector<std::string> problems;
};

// A period during which a preset was in force.
struct preset_span
{
    std::string preset;
    millis from;
    millis to;
};

// A period for which the counts of a process are missing.
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

// Contents of the page, independent of its format.
struct day_report
{
    report_day day;
    bool went_well = true;
    // "Today went well: ...", or what did not go well.
    std::string headline;
    std::vector<service_day> services;
    std::vector<preset_span> presets;
    std::vector<coverage_gap> coverage_gaps;
    std::vector<lagging_process> lagging;
    // Processes from which no report could be fetched.
    std::vector<std::string> unreachable;
};

// Computes the report of a day from merged reports and the names of processes
// that could not be reached. Pure: the same input gives the same report.
auto make_day_report(const report_day& day,
                     std::span<const process_report> reports,
                     std::span<const std::string> unreachable) -> day_report;

} // namespace briardrum

#endif
