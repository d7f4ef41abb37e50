#ifndef BRIARDRUM_REPORT_MODEL_HEADLINE_HPP
#define BRIARDRUM_REPORT_MODEL_HEADLINE_HPP

#include "report/model/day_report.hpp"

namespace briardrum
{

// Describes what did not go well for a service, the worst first.
auto problems_of(const service_day& service) -> std::vector<std::string>;

// Sets went_well and the headline, one sentence that summarises the day.
auto add_headline(day_report& report) -> void;

} // namespace briardrum

#endif
