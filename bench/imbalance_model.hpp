#ifndef BRIARDRUM_BENCH_IMBALANCE_MODEL_HPP
#define BRIARDRUM_BENCH_IMBALANCE_MODEL_HPP

#include "core/core.hpp"

#include <vector>

namespace briardrum::bench
{

// How busy each caller is, as shares that add up to 1: all alike, or from a
// Pareto distribution in which a few bring much of the work.
auto caller_weights(std::size_t count, bool heavy_tail, std::uint64_t seed)
    -> std::vector<double>;

// Flows that stay where they are placed, each placed at the server with the
// least reported load. Reports are renewed after every so many placements.
struct reported_model
{
    std::size_t servers = 0;
    std::vector<double> weights;
    // The first server always reports that it is idle.
    bool first_lies = false;
    // The first server's load reads as so many times its work.
    double first_slow = 1;
};

// The work that each server gets.
auto place_by_report(const reported_model& model) -> std::vector<double>;

// Busiest over mean of the equal servers (0 when these got nothing), and the
// odd one over the mean of all.
struct split_work
{
    double imbalance = 0;
    double odd = 1;
};

auto split_odd(std::vector<double> work, bool first_is_odd) -> split_work;

} // namespace briardrum::bench

#endif
