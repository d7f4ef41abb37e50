#ifndef BRIARDRUM_REPORT_MODEL_PROCESS_REPORT_HPP
#define BRIARDRUM_REPORT_MODEL_PROCESS_REPORT_HPP

#include "report/metrics/service_counts.hpp"

#include <map>
#include <string>
#include <vector>

namespace briardrum
{

// Length of a counting interval. Intervals start at multiples of this length
// since the Unix epoch, so that those of all processes are aligned.
constexpr millis report_interval = minutes(1);

// Start of the interval that contains a wall clock time.
constexpr auto interval_of(millis wall) -> millis
{
    return wall / report_interval.count * report_interval.count;
}

// The service-level objective of a service.
struct service_objective
{
    std::uint32_t objective_ppm = 999000;
    millis latency = milliseconds(500);

    auto operator==(const service_objective&) const -> bool = default;
};

// The configuration version with which a preset came into force, and when.
struct preset_change
{
    configuration_version version = 0;
    std::string preset;
    millis from;

    auto operator==(const preset_change&) const -> bool = default;
};

// Counts of one incarnation of a process up to a point in time. All times are
// wall clock times.
struct process_report
{
    std::string process;
    incarnation_number incarnation = 0;
    member_kind kind = member_kind::agent;
    std::string data_centre;
    // Agents only: service and slots as announced by the local server.
    std::string service;
    std::uint32_t slots = 0;
    // When the incarnation started, and when this report was made.
    millis from;
    millis until;
    // The process shut down gracefully: no counts are missing after until.
    bool finished = false;
    // Version of the configuration in force in the process.
    configuration_version version = 0;
    std::map<std::string, service_objective> objectives;
    std::vector<preset_change> presets;
    // Counts by start of the interval, then by service name. Intervals without
    // events are left out.
    std::map<millis, std::map<std::string, service_counts>> intervals;
};

} // namespace briardrum

#endif
