#ifndef BRIARDRUM_REPORT_METRICS_REPORT_RECORDER_HPP
#define BRIARDRUM_REPORT_METRICS_REPORT_RECORDER_HPP

#include "config/config.hpp"
#include "report/model/process_report.hpp"

namespace briardrum
{

// Counts the results of one process's requests by interval and service, and
// keeps the last day. Times are wall clock times.
//
// Call record_outcome() from request_hooks::finished, and record_result() for
// requests that never reached a request engine.
class report_recorder
{
public:
    // Takes the name, kind, data centre and slots of the process from self.
    report_recorder(millis now, const member_record& self);

    // Applies the objectives and the preset of a configuration that is now in
    // force.
    auto adopt(millis now, const configuration& next) -> void;

    // Records a request whose outcome the request engine reported.
    auto record_outcome(millis now, const std::string& service,
                        const request_outcome& outcome) -> void;

    // Records a request that ended without an outcome from an engine.
    auto record_result(millis now, const std::string& service, urgency level,
                       request_result result, millis latency) -> void;

    // Records that an established flow of a service was broken.
    auto record_broken_flow(millis now, const std::string& service) -> void;

    // Marks the report as complete after a graceful shutdown, so that no
    // coverage gap follows it.
    auto finish() -> void;

    auto set_slots(std::uint32_t slots) -> void;

    // Returns everything counted up to now.
    auto report(millis now) const -> process_report;

private:
    auto counts(millis now, const std::string& service) -> service_counts&;

    process_report report_;
};

} // namespace briardrum

#endif
