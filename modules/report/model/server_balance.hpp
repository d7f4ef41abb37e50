#ifndef BRIARDRUM_REPORT_MODEL_SERVER_BALANCE_HPP
#define BRIARDRUM_REPORT_MODEL_SERVER_BALANCE_HPP

#include "report/model/day_report.hpp"

namespace briardrum
{

// How evenly a service's servers were used.
struct server_balance
{
    std::size_t servers = 0;
    // Busiest over the mean of answers per slot and minute of presence; none
    // with fewer than two servers or without answers.
    std::optional<double> imbalance;
};

auto balance_of(const report_day& day, const std::string& service,
                std::span<const process_report> reports) -> server_balance;

} // namespace briardrum

#endif
