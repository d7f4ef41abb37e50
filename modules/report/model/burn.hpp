#ifndef BRIARDRUM_REPORT_MODEL_BURN_HPP
#define BRIARDRUM_REPORT_MODEL_BURN_HPP

#include "report/model/day_report.hpp"

namespace briardrum
{

// How fast an error budget burns when so many of so many requests are bad: 1
// uses up just what the objective allows. 0 without requests.
auto burn_rate(std::uint64_t bad, std::uint64_t total,
               std::uint32_t objective_ppm) -> double;

// Burn over the windows that end at a time, from points in order of time.
// Each window takes in the points that start in it.
auto burn_rates_at(std::span<const day_point> points, millis end,
                   std::uint32_t objective_ppm) -> burn_rates;

} // namespace briardrum

#endif
