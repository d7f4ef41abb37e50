#include "report/metrics/report_recorder.hpp"

namespace briardrum
{

namespace
{

// A whole day, plus one hour because its page may be written late.
constexpr millis retention = minutes(60) * 25;

} // namespace

report_recorder::report_recorder(millis now, const member_record& self)
{
    report_.process = self.name;
    report_.incarnation = self.incarnation;
    report_.kind = self.kind;
    report_.data_centre = self.data_centre;
    report_.service = self.service_name;
    report_.slots = self.slots;
    report_.from = now;
}

auto report_recorder::adopt(millis now, const configuration& next) -> void
{
    for (const auto& [name, item] : next.services)
    {
        const auto policy = next.policy_of(item.id);
        report_.objectives[name] = {policy.objective_ppm,
                                    policy.objective_latency};
    }
    report_.version = next.version;
    auto& presets = report_.presets;
    if (presets.empty() || presets.back().preset != next.in_force)
    {
        presets.push_back({next.version, next.in_force, now});
    }
}

auto report_recorder::record_outcome(millis now, const std::string& service,
                                     const request_outcome& outcome) -> void
{
    const auto it = report_.objectives.find(service);
    const auto objective =
        it == report_.objectives.end() ? service_objective{} : it->second;
    const auto result = result_of(outcome, objective.latency);
    record_result(now, service, outcome.level, result, outcome.latency);
}

auto report_recorder::record_result(millis now, const std::string& service,
                                    urgency level, request_result result,
                                    millis latency) -> void
{
    counts(now, service).add(level, result, latency);
}

auto report_recorder::record_broken_flow(millis now, const std::string& service)
    -> void
{
    ++counts(now, service).broken_flows;
}

auto report_recorder::finish() -> void
{
    report_.finished = true;
}

auto report_recorder::set_slots(std::uint32_t slots) -> void
{
    report_.slots = slots;
}

auto report_recorder::report(millis now) const -> process_report
{
    auto out = report_;
    out.until = now;
    return out;
}

auto report_recorder::counts(millis now, const std::string& service)
    -> service_counts&
{
    const auto start = interval_of(now);
    const auto [it, inserted] = report_.intervals.try_emplace(start);
    auto& found = it->second[service];
    if (inserted)
    {
        std::erase_if(report_.intervals,
                      [&](const auto& item)
                      {
                          return item.first + retention < start;
                      });
    }
    return found;
}

} // namespace briardrum
