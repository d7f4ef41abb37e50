#include "bench/control_fleet.hpp"
#include "bench/measures.hpp"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <memory>

namespace briardrum::bench
{

namespace
{

// The targets of one daemon.
constexpr double in_force_s_max = 5;
constexpr double bytes_per_s_max = 4096;
constexpr double core_percent_max = 2.4;

// 20,000 changes a day.
constexpr auto change_interval = milliseconds(4320);
// Members learn of each other before anything is counted.
constexpr auto warm_up = seconds(30);
constexpr auto step = milliseconds(50);

struct control_options
{
    std::size_t daemons = 0;
    std::size_t services = 0;
    std::uint64_t seed = 1;
    std::int64_t length_s = 60;
};

struct control_figures
{
    double in_force_s = 0;
    double bytes_per_s = 0;
    double core_percent = 0;
    bool all_in_force = true;
};

auto process_seconds() -> double
{
    std::timespec at{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &at);
    return static_cast<double>(at.tv_sec) +
           static_cast<double>(at.tv_nsec) / 1e9;
}

// Makes a change and runs until the next is due; gives how long it took to be
// in force, or a negative number when it was not.
auto time_change(control_fleet& fleet) -> double
{
    const auto begun = fleet.now();
    fleet.change();
    double out = -1;
    while (fleet.now() < begun + change_interval)
    {
        fleet.run(step);
        if (out < 0 && fleet.is_in_force())
        {
            out = static_cast<double>((fleet.now() - begun).count) / 1000;
        }
    }
    return out;
}

auto measure_fleet(std::size_t daemons, std::size_t services,
                   const control_options& options) -> control_figures
{
    control_fleet fleet(daemons, services, options.seed);
    fleet.run(warm_up);
    fleet.reset_counts();
    const auto begun = fleet.now();
    const auto cpu_before = process_seconds();
    control_figures out;
    while (fleet.now() < begun + seconds(options.length_s))
    {
        const auto took = time_change(fleet);
        out.all_in_force = out.all_in_force && took >= 0;
        out.in_force_s = std::max(out.in_force_s, took);
    }
    const auto span = static_cast<double>((fleet.now() - begun).count) / 1000;
    const auto n = static_cast<double>(daemons);
    const auto counts = fleet.counts();
    const auto cpu = process_seconds() - cpu_before;
    const auto configuration =
        static_cast<double>(counts.configuration_bytes) / span / n;
    const auto membership =
        static_cast<double>(counts.membership_bytes) / span / n;
    out.bytes_per_s = configuration + membership;
    out.core_percent = cpu / span / n * 100;
    std::printf("daemons=%zu services=%zu in_force_s=%.2f bytes_per_s=%.0f "
                "membership_bytes_per_s=%.0f configuration_bytes_per_s=%.0f "
                "store_calls_per_s=%.2f core_percent=%.3f\n",
                daemons, services, out.in_force_s, out.bytes_per_s, membership,
                configuration, static_cast<double>(counts.store_calls) / span,
                out.core_percent);
    std::fflush(stdout);
    return out;
}

auto add_worst(control_figures& worst, const control_figures& row) -> void
{
    worst.in_force_s = std::max(worst.in_force_s, row.in_force_s);
    worst.bytes_per_s = std::max(worst.bytes_per_s, row.bytes_per_s);
    worst.core_percent = std::max(worst.core_percent, row.core_percent);
    worst.all_in_force = worst.all_in_force && row.all_in_force;
}

auto run(const control_options& options) -> int
{
    using row = std::pair<std::size_t, std::size_t>;
    std::vector<row> rows = {{10, 100}, {100, 100},  {500, 100},
                             {100, 10}, {100, 1000}, {100, 10'000}};
    if (options.daemons != 0)
    {
        rows = {{options.daemons, std::max<std::size_t>(options.services, 1)}};
    }
    control_figures worst;
    for (const auto& [daemons, services] : rows)
    {
        add_worst(worst, measure_fleet(daemons, services, options));
    }
    const auto pass = worst.all_in_force &&
                      worst.in_force_s <= in_force_s_max &&
                      worst.bytes_per_s <= bytes_per_s_max &&
                      worst.core_percent <= core_percent_max;
    std::printf("measure=control in_force_s=%.2f bytes_per_s=%.0f "
                "core_percent=%.3f verdict=%s\n",
                worst.in_force_s, worst.bytes_per_s, worst.core_percent,
                pass ? "pass" : "fail");
    return pass ? 0 : 1;
}

} // namespace

auto add_control(CLI::App& app) -> measure
{
    const auto options = std::make_shared<control_options>();
    auto* command = app.add_subcommand(
        "control", "Configuration in force: time, bytes, store calls and "
                   "processor time of a daemon");
    command->add_option("--daemons", options->daemons, "This many only");
    command->add_option("--services", options->services,
                        "With --daemons: this many services");
    command->add_option("--seed", options->seed, "Seed of the run");
    command->add_option("--length-s", options->length_s,
                        "Virtual seconds that are counted");
    return {command, [options]
            {
                return run(*options);
            }};
}

} // namespace briardrum::bench
