#ifndef BRIARDRUM_REQUESTS_LIMITS_RETRY_BUDGET_HPP
#define BRIARDRUM_REQUESTS_LIMITS_RETRY_BUDGET_HPP

#include <cstdint>

namespace briardrum
{

// How many retries are allowed: a token bucket that each new request fills by
// a percentage of one token, so that retries stay a share of recent requests
// however the server fails.
class retry_budget
{
public:
    // Retries as percent of requests; 0 allows none.
    auto set_percent(std::uint32_t percent) -> void;

    // A new request arrived.
    auto deposit() -> void;

    // Takes one retry; false when the budget is spent.
    auto withdraw() -> bool;

private:
    std::uint32_t percent_ = 10;
    // In hundredths of a retry.
    std::uint64_t balance_ = 0;
};

} // namespace briardrum

#endif
