#include "bench/imbalance_model.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace briardrum::bench
{

namespace
{

constexpr double pareto_shape = 1.5;
// A caller waits for its answer before it asks again, so it cannot be
// busier than this many times the least busy.
constexpr double weight_max = 200;
// Flows that arrive before a server's report is renewed.
constexpr std::size_t placements_per_report = 50;

} // namespace

auto caller_weights(std::size_t count, bool heavy_tail, std::uint64_t seed)
    -> std::vector<double>
{
    random_source random(seed);
    std::vector<double> out;
    for (std::size_t n = 0; n < count; ++n)
    {
        const auto pareto = std::pow(1 - random.unit(), -1 / pareto_shape);
        out.push_back(heavy_tail ? std::min(pareto, weight_max) : 1.0);
    }
    const auto sum = std::accumulate(out.begin(), out.end(), 0.0);
    for (auto& weight : out)
    {
        weight /= sum;
    }
    return out;
}

auto place_by_report(const reported_model& model) -> std::vector<double>
{
    std::vector<double> work(model.servers, 0);
    auto reported = work;
    for (std::size_t n = 0; n < model.weights.size(); ++n)
    {
        if (n % placements_per_report == 0)
        {
            reported = work;
            reported.front() *= model.first_lies ? 0 : model.first_slow;
        }
        const auto least = std::min_element(reported.begin(), reported.end());
        work.at(static_cast<std::size_t>(least - reported.begin())) +=
            model.weights[n];
    }
    return work;
}

auto split_odd(std::vector<double> work, bool first_is_odd) -> split_work
{
    split_work out;
    const auto mean_of = [](const std::vector<double>& all)
    {
        const auto sum = std::accumulate(all.begin(), all.end(), 0.0);
        return sum / static_cast<double>(all.size());
    };
    const auto odd = work.front();
    const auto mean_of_all = mean_of(work);
    if (first_is_odd)
    {
        work.erase(work.begin());
    }
    const auto mean = mean_of(work);
    if (mean > 0)
    {
        out.imbalance = *std::max_element(work.begin(), work.end()) / mean;
    }
    if (mean_of_all > 0)
    {
        out.odd = odd / mean_of_all;
    }
    return out;
}

} // namespace briardrum::bench
