#ifndef BRIARDRUM_REQUESTS_LIMITS_LATENCY_ESTIMATE_HPP
#define BRIARDRUM_REQUESTS_LIMITS_LATENCY_ESTIMATE_HPP

#include "core/core.hpp"

#include <cstdint>

namespace briardrum
{

// How long the server takes for a request, as two moving averages: one of
// the last few answers and one of many, which serves as the baseline.
class latency_estimate
{
public:
    auto add(millis latency) -> void;

    // Milliseconds; 0 before the first answer.
    auto recent() const -> double;
    auto baseline() const -> double;

    // True once there are answers enough to compare the two.
    auto has_baseline() const -> bool;

private:
    std::uint64_t count_ = 0;
    double recent_ = 0;
    double baseline_ = 0;
};

} // namespace briardrum

#endif
