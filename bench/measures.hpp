#ifndef BRIARDRUM_BENCH_MEASURES_HPP
#define BRIARDRUM_BENCH_MEASURES_HPP

#include <CLI/CLI.hpp>
#include <functional>

namespace briardrum::bench
{

// One measurement of the bench tool. add() gives it a subcommand with its
// options; run() does it, prints its figures and, as last line,
// "measure=NAME ... verdict=pass|fail", and gives the exit code.
struct measure
{
    CLI::App* command = nullptr;
    std::function<int()> run;
};

// Each is defined in the file named after it; main() lists them all.
auto add_control(CLI::App& app) -> measure;
auto add_broken(CLI::App& app) -> measure;
auto add_soak(CLI::App& app) -> measure;
auto add_imbalance(CLI::App& app) -> measure;
auto add_requests(CLI::App& app) -> measure;
auto add_forward(CLI::App& app) -> measure;
auto add_flood(CLI::App& app) -> measure;
auto add_gossip(CLI::App& app) -> measure;
auto add_queueing(CLI::App& app) -> measure;
auto add_hedging(CLI::App& app) -> measure;

} // namespace briardrum::bench

#endif
