#ifndef BRIARDRUM_REQUESTS_LIMITS_RETRY_BUDGET_HPP
#define BRIARDRUM_REQUESTS_LIMITS_RETRY_BUDGET_HPP

#include <cstdint>

namespace briardrum
{

// Limits retries with a token bucket. Each new request adds a percentage of one
// token, so that retries stay a fixed share of recent requests however the
// server fails.
class retry_budget
{
public:
    // Sets the retries allowed, as a percentage of requests; 0 allows none.
    auto set_percent(std::uint32_t percent) -> void;

    // Adds the share of one new request.
    auto deposit() -> void;

    // Takes one retry. Returns false if the budget is exhausted.
    auto withdraw() -> bool;

private:
    std::uint32_t percent_ = 10;
    // In hundredths of a retry.
    std::uint64_t balance_ = 0;
};

} // namespace briardrum

#endif
