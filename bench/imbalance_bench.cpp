#include "bench/imbalance_model.hpp"
#include "bench/measures.hpp"
#include "bench/rig/deployment.hpp"

#include <algorithm>
#include <cstdio>
#include <memory>

namespace briardrum::bench
{

namespace
{

constexpr double target = 1.10;
constexpr int target_load_percent = 70;
constexpr millis work_mean = milliseconds(20);
// Flows open and limits settle before anything is counted.
constexpr millis warm_up = seconds(20);

struct imbalance_options
{
    std::uint64_t seed = 1;
    std::size_t connections = 2000;
    std::int64_t length_s = 30;
    std::string scenario = "all";
    std::string deployment = "both";
    std::string placement = "all";
};

// What is unequal in a run. The first server of each service is the odd one,
// and is left out of the figure for the equal ones.
struct scenario
{
    std::string name;
    int load_percent = target_load_percent;
    bool heavy_tail = false;
    double first_slow = 1;
    double first_cold = 1;
    bool first_lies = false;

    auto has_odd_server() const -> bool
    {
        return first_slow > 1 || first_cold > 1 || first_lies;
    }
};

auto scenarios() -> std::vector<scenario>
{
    return {{"uniform", 50, false},
            {"uniform", 70, false},
            {"uniform", 90, false},
            {"heavy_tailed", 50, true},
            {"heavy_tailed", 70, true},
            {"heavy_tailed", 90, true},
            {"cold_server", 70, false, 1, 3, false},
            {"slow_server", 70, false, 3, 1, false},
            {"lying_server", 70, false, 1, 1, true}};
}

// Requests a second that one service is offered.
auto offered_rate(const rig::service_size& service, int load_percent) -> double
{
    const auto at_once = static_cast<double>(service.servers * service.slots);
    const auto per_slot = 1000.0 / static_cast<double>(work_mean.count);
    return at_once * per_slot * load_percent / 100;
}

auto add_service_callers(rig::rig& fleet, const rig::service_size& service,
                         const scenario& what, const imbalance_options& options)
    -> std::vector<double>
{
    const auto count = service.servers * options.connections;
    auto weights = caller_weights(count, what.heavy_tail, options.seed);
    const auto rate = offered_rate(service, what.load_percent);
    for (std::size_t n = 0; n < count; ++n)
    {
        rig::caller_profile profile;
        const auto think_ms = 1000.0 / (rate * weights[n]);
        profile.think_mean = {static_cast<std::int64_t>(think_ms)};
        const auto part = static_cast<std::int64_t>(n) * warm_up.count / 2 /
                          static_cast<std::int64_t>(count);
        fleet.add_caller(service.name, profile, {part});
    }
    return weights;
}

auto completed(rig::rig& fleet, const std::vector<std::string>& agents)
    -> std::vector<double>
{
    std::vector<double> out;
    out.reserve(agents.size());
    for (const auto& name : agents)
    {
        out.push_back(static_cast<double>(fleet.server(name).completed()));
    }
    return out;
}

auto make_odd(rig::rig& fleet, const std::string& agent, const scenario& what,
              std::uint32_t slots) -> void
{
    rig::server_profile profile;
    profile.slots = slots;
    profile.work_mean = work_mean;
    profile.slow_factor = what.first_slow;
    profile.cold_factor = what.first_cold;
    profile.cold_for = what.first_cold > 1 ? minutes(10) : millis{};
    fleet.server(agent).change_profile(profile);
}

struct figure
{
    double imbalance = 0;
    // The odd server's work over the mean of all.
    double odd = 1;
};

// Runs one placement of one scenario; a figure for each service.
auto run_rig(const rig::deployment& sizes, const scenario& what,
             const imbalance_options& options, bool baseline)
    -> std::vector<figure>
{
    rig::rig fleet(options.seed);
    if (baseline)
    {
        fleet.use_baseline();
    }
    rig::server_profile profile;
    profile.work_mean = work_mean;
    rig::build(fleet, sizes, profile);
    for (const auto& service : sizes.services)
    {
        add_service_callers(fleet, service, what, options);
        if (what.has_odd_server())
        {
            make_odd(fleet, service.name + "-1", what, service.slots);
        }
    }
    fleet.run_for(warm_up);
    std::vector<std::vector<double>> before;
    for (const auto& service : sizes.services)
    {
        before.push_back(completed(fleet, fleet.agents_of(service.name)));
    }
    fleet.run_for(seconds(options.length_s));
    std::vector<figure> out;
    for (std::size_t n = 0; n < sizes.services.size(); ++n)
    {
        const auto agents = fleet.agents_of(sizes.services[n].name);
        auto work = completed(fleet, agents);
        for (std::size_t m = 0; m < work.size(); ++m)
        {
            work[m] -= before[n][m];
        }
        const auto split = split_odd(work, what.has_odd_server());
        out.push_back({split.imbalance, split.odd});
    }
    return out;
}

// The least reported load, as a model: sticky flows join whichever server
// says it has least, by reports that are a second old.
auto run_reported(const rig::deployment& sizes, const scenario& what,
                  const imbalance_options& options) -> std::vector<figure>
{
    std::vector<figure> out;
    for (const auto& service : sizes.services)
    {
        const auto count = service.servers * options.connections;
        const auto weights =
            caller_weights(count, what.heavy_tail, options.seed);
        reported_model model;
        model.servers = service.servers;
        model.weights = weights;
        model.first_lies = what.first_lies;
        model.first_slow = std::max(what.first_slow, what.first_cold);
        const auto split =
            split_odd(place_by_report(model), what.has_odd_server());
        out.push_back({split.imbalance, split.odd});
    }
    return out;
}

auto run_placement(const std::string& placement, const rig::deployment& sizes,
                   const scenario& what, const imbalance_options& options)
    -> std::vector<figure>
{
    if (placement == "least_reported")
    {
        return run_reported(sizes, what, options);
    }
    return run_rig(sizes, what, options, placement == "rendezvous");
}

auto print(const std::string& placement, const rig::deployment& sizes,
           const scenario& what, const std::vector<figure>& figures) -> double
{
    double worst = 0;
    for (std::size_t n = 0; n < figures.size(); ++n)
    {
        std::printf("placement=%s deployment=%s service=%s callers=%s "
                    "load=%d imbalance=%.3f",
                    placement.c_str(), sizes.name.c_str(),
                    sizes.services[n].name.c_str(), what.name.c_str(),
                    what.load_percent, figures[n].imbalance);
        if (what.has_odd_server())
        {
            std::printf(" odd_server=%.3f", figures[n].odd);
        }
        std::printf("\n");
        worst = std::max(worst, figures[n].imbalance);
    }
    std::fflush(stdout);
    return worst;
}

auto is_wanted(const std::string& asked, const std::string& name) -> bool
{
    return asked == "all" || asked == "both" || asked == name;
}

auto run_imbalance(const imbalance_options& options) -> int
{
    double worst = 0;
    for (const auto& sizes : {rig::salinecarri(), rig::association()})
    {
        for (const auto& what : scenarios())
        {
            for (const auto* placement :
                 {"briardrum", "rendezvous", "least_reported"})
            {
                if (!is_wanted(options.deployment, sizes.name) ||
                    !is_wanted(options.scenario, what.name) ||
                    !is_wanted(options.placement, placement))
                {
                    continue;
                }
                const auto figures =
                    run_placement(placement, sizes, what, options);
                const auto value = print(placement, sizes, what, figures);
                const auto counts = std::string(placement) == "briardrum" &&
                                    what.load_percent == target_load_percent;
                worst = counts ? std::max(worst, value) : worst;
            }
        }
    }
    const auto good = worst > 0 && worst <= target;
    std::printf("measure=imbalance value=%.3f target=%.2f verdict=%s\n", worst,
                target, good ? "pass" : "fail");
    return good ? 0 : 1;
}

} // namespace

auto add_imbalance(CLI::App& app) -> measure
{
    auto options = std::make_shared<imbalance_options>();
    auto* command = app.add_subcommand(
        "imbalance", "Busiest server over the mean of a service's equal "
                     "servers, beside two baselines.");
    command->add_option("--seed", options->seed, "the seed");
    command->add_option("--connections", options->connections,
                        "connections for each server");
    command->add_option("--length", options->length_s,
                        "virtual seconds that are counted");
    command->add_option("--scenario", options->scenario,
                        "uniform, heavy_tailed, cold_server, slow_server, "
                        "lying_server or all");
    command->add_option("--deployment", options->deployment,
                        "salinecarri, association or both");
    command->add_option("--placement", options->placement,
                        "briardrum, rendezvous, least_reported or all");
    return {command, [options]
            {
                return run_imbalance(*options);
            }};
}

} // namespace briardrum::bench
