#include "requests/limits/retry_budget.hpp"

#include <algorithm>

namespace briardrum
{

namespace
{

constexpr std::uint64_t hundredths_per_retry = 100;
// Bounds the burst of retries that can be saved up while nothing fails.
constexpr std::uint64_t balance_max = 20 * hundredths_per_retry;

} // namespace

auto retry_budget::set_percent(std::uint32_t percent) -> void
{
    percent_ = percent;
}

auto retry_budget::deposit() -> void
{
    balance_ = std::min(balance_ + percent_, balance_max);
}

auto retry_budget::withdraw() -> bool
{
    if (percent_ == 0 || balance_ < hundredths_per_retry)
    {
        return false;
    }
    balance_ -= hundredths_per_retry;
    return true;
}

} // namespace briardrum
