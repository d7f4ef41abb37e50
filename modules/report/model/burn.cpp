#include "report/model/burn.hpp"

namespace briardrum
{

namespace
{

constexpr double ppm_per_unit = 1000000;

auto burn_rate_over(std::span<const day_point> points, millis end,
                    millis window, std::uint32_t objective_ppm) -> double
{
    std::uint64_t bad = 0;
    std::uint64_t total = 0;
    for (const auto& item : points)
    {
        if (item.start >= end - window && item.start < end)
        {
            bad += item.bad;
            total += item.total;
        }
    }
    return burn_rate(bad, total, objective_ppm);
}

} // namespace

auto burn_rate(std::uint64_t bad, std::uint64_t total,
               std::uint32_t objective_ppm) -> double
{
    if (total == 0 || bad == 0)
    {
        return 0;
    }
    const auto share = static_cast<double>(bad) / static_cast<double>(total);
    // An objective of 100% leaves no error budget. Allow one bad request in a
    // million, so that the burn rate stays finite.
    const auto allowed =
        std::max(1.0, ppm_per_unit - objective_ppm) / ppm_per_unit;
    return share / allowed;
}

auto burn_rates_at(std::span<const day_point> points, millis end,
                   std::uint32_t objective_ppm) -> burn_rates
{
    const auto over = [&](millis window)
    {
        return burn_rate_over(points, end, window, objective_ppm);
    };
    return {over(minutes(5)), over(minutes(60)), over(minutes(60) * 6),
            over(minutes(60) * 24)};
}

} // namespace briardrum
