#ifndef BRIARDRUM_REPORT_MODEL_SERVER_BALANCE_HPP
#define BRIARDRUM_REPORT_MODEL_SERVER_BALANCE_HPP

#include "report/model/day_report.hpp"

namespace briardrum
{

// How evenly the load was distributed over the servers of a service.
struct server_balance
{
    std::size_t servers = 0;
    // Answers of the busiest server relative to the mean, per slot and minute
    // of uptime. Empty with fewer than two servers or without answers.
    std::optional<double> imbalance;
};

auto balance_of(const report_day& day, const std::string& service,
                std::span<const process_report> reports) -> server_balance;

} // namespace briardrum

#endif
