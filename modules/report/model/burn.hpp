#ifndef BRIARDRUM_REPORT_MODEL_BURN_HPP
#define BRIARDRUM_REPORT_MODEL_BURN_HPP

#include "report/model/day_report.hpp"

namespace briardrum
{

// The rate at which bad requests use up the error budget. At 1, exactly the
// share of bad requests that the objective allows. 0 without requests.
auto burn_rate(std::uint64_t bad, std::uint64_t total,
               std::uint32_t objective_ppm) -> double;

// Burn rates over the windows that end at the given time. Points must be in
// order of time; each window includes the points that start in it.
auto burn_rates_at(std::span<const day_point> points, millis end,
                   std::uint32_t objective_ppm) -> burn_rates;

} // namespace briardrum

#endif
