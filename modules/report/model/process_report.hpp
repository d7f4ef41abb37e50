#ifndef BRIARDRUM_REPORT_MODEL_PROCESS_REPORT_HPP
#define BRIARDRUM_REPORT_MODEL_PROCESS_REPORT_HPP

#include "report/metrics/service_counts.hpp"

#include <map>
#include <string>
#include <vector>

namespace briardrum
{

// Length of one interval of counting. Intervals start at whole multiples of
// it since 1970, so that those of all processes line up.
constexpr millis report_interval = minutes(1);

// The interval that a wall clock time lies in.
constexpr auto interval_of(millis wall) -> millis
{
    return wall / report_interval.count * report_interval.count;
}

// What a service is measured against.
struct service_objective
{
    std::uint32_t objective_ppm = 999000;
    millis latency = milliseconds(500);

    auto operator==(const service_objective&) const -> bool = default;
};

// A preset came into force with this version of the configuration.
struct preset_change
{
    configuration_version version = 0;
    std::string preset;
    millis from;

    auto operator==(const preset_change&) const -> bool = default;
};

// What one life of one process counted, up to some moment. All times are wall
// clock times.
struct process_report
{
    std::string process;
    incarnation_number incarnation = 0;
    member_kind kind = member_kind::agent;
    std::string data_centre;
    // Agents only: what the server beside it announced.
    std::string service;
    std::uint32_t slots = 0;
    // The life began, and was last asked, at these times.
    millis from;
    millis until;
    // It left after a graceful shutdown: nothing is missing after until.
    bool finished = false;
    // Of the configuration in force there.
    configuration_version version = 0;
    std::map<std::string, service_objective> objectives;
    std::vector<preset_change> presets;
    // By start of the interval, then by name of the service. Intervals in
    // which nothing happened are left out.
    std::map<millis, std::map<std::string, service_counts>> intervals;
};

} // namespace briardrum

#endif
