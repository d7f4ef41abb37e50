#ifndef BRIARDRUM_REPORT_METRICS_REPORT_RECORDER_HPP
#define BRIARDRUM_REPORT_METRICS_REPORT_RECORDER_HPP

#include "config/config.hpp"
#include "report/model/process_report.hpp"

namespace briardrum
{

// Counts for one process what its callers got, interval by interval, and
// keeps the last day of it. Times are wall clock times.
//
// Hang record_outcome() on request_hooks::finished; call record_result() for
// what never reached an engine.
class report_recorder
{
public:
    // The record names the process, its kind, place and slots.
    report_recorder(millis now, const member_record& self);

    // A configuration is in force: its objectives and its preset count from
    // now on.
    auto adopt(millis now, const configuration& next) -> void;

    // A request of a service ended, as its engine says.
    auto record_outcome(millis now, const std::string& service,
                        const request_outcome& outcome) -> void;

    // A request of a service ended in some other way.
    auto record_result(millis now, const std::string& service, urgency level,
                       request_result result, millis latency) -> void;

    // An established flow of a service could not go on.
    auto record_broken_flow(millis now, const std::string& service) -> void;

    // The process leaves after a graceful shutdown.
    auto finish() -> void;

    auto set_slots(std::uint32_t slots) -> void;

    // Everything counted so far.
    auto report(millis now) const -> process_report;

private:
    auto counts(millis now, const std::string& service) -> service_counts&;

    process_report report_;
};

} // namespace briardrum

#endif
