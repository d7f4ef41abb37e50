#ifndef BRIARDRUM_TESTS_UNIT_REPORT_FIXTURE_HPP
#define BRIARDRUM_TESTS_UNIT_REPORT_FIXTURE_HPP

#include "report/report.hpp"

#include <string>

namespace briardrum::tests
{

// 2026-12-04 00:00 UTC.
constexpr millis day_start{1796342400000};

inline auto at(std::int64_t hour, std::int64_t minute) -> millis
{
    return day_start + minutes(hour * 60 + minute);
}

inline auto agent_named(const std::string& name, const std::string& service,
                        incarnation_number incarnation = 1) -> member_record
{
    member_record out;
    out.name = name;
    out.incarnation = incarnation;
    out.kind = member_kind::agent;
    out.data_centre = "trapani";
    out.service_name = service;
    out.slots = 5;
    return out;
}

// A configuration with two services and one preset, which is in force.
inline auto configuration_of(const std::string& preset_name,
                             configuration_version version) -> configuration
{
    configuration out;
    out.version = version;
    out.in_force = preset_name;
    out.services["manifest"] = {1, "manifest", {1, 1}};
    out.services["docs"] = {2, "docs", {1, 2}};
    service_policy strict;
    strict.objective_ppm = 999000;
    strict.objective_latency = milliseconds(500);
    service_policy loose = strict;
    loose.objective_ppm = 990000;
    loose.objective_latency = seconds(2);
    out.presets[preset_name] = {preset_name,
                                {{"manifest", strict}, {"docs", loose}}};
    return out;
}

} // namespace briardrum::tests

#endif
