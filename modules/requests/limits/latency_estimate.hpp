#ifndef BRIARDRUM_REQUESTS_LIMITS_LATENCY_ESTIMATE_HPP
#define BRIARDRUM_REQUESTS_LIMITS_LATENCY_ESTIMATE_HPP

#include "core/core.hpp"

#include <cstdint>

namespace briardrum
{

// Estimates the server's latency with two moving averages: a short one of
// recent answers, and a long one that serves as the baseline.
class latency_estimate
{
public:
    auto add(millis latency) -> void;

    // Averages in milliseconds; 0 before the first answer.
    auto recent() const -> double;
    auto baseline() const -> double;

    // True if there are enough samples to compare the two averages.
    auto has_baseline() const -> bool;

private:
    std::uint64_t count_ = 0;
    double recent_ = 0;
    double baseline_ = 0;
};

} // namespace briardrum

#endif
