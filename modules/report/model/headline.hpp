#ifndef BRIARDRUM_REPORT_MODEL_HEADLINE_HPP
#define BRIARDRUM_REPORT_MODEL_HEADLINE_HPP

#include "report/model/day_report.hpp"

namespace briardrum
{

// What did not go well for a service, in words, the worst first.
auto problems_of(const service_day& service) -> std::vector<std::string>;

// Sets whether the day went well and says so in one sentence.
auto add_headline(day_report& report) -> void;

} // namespace briardrum

#endif
