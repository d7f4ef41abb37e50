#include "bench/measures.hpp"
#include "bench/rig/packets/packet_fleet.hpp"

#include <cstdio>
#include <memory>

namespace briardrum::bench
{

namespace
{

// Callers' share answered in time at the ordinary load of the users' letter.
constexpr double in_aim_target = 0.99;
constexpr double ordinary_load = 0.75;
constexpr millis warm_up = seconds(5);

struct queueing_options
{
    std::uint64_t seed = 1;
    std::int64_t length_s = 20;
    std::string placement = "all";
    std::string scenario = "all";
    std::string shape = "all";
    // Changes to the product's own limits, for experiments.
    admission_settings admission;
    std::int64_t fresh_ms = admission_settings{}.fresh_age_max.count;
    std::int64_t late_ms = admission_settings{}.queue_age_max.count;
};

// A deployment of the letter, with the work of one request of each kind.
struct fleet_shape
{
    std::string name;
    std::uint32_t balancers;
    rig::packet_service service;
    millis aim;
    millis deadline;
};

auto shapes() -> std::vector<fleet_shape>
{
    return {{"small", 5, {"orders", 7, 5}, milliseconds(200), seconds(2)},
            {"grown",
             24,
             {"orders", 50, 2},
             milliseconds(300),
             milliseconds(2500)}};
}

// Seven lookups to two orders, as the users' kinds are.
auto make_settings(const fleet_shape& shape, double load,
                   const queueing_options& options)
    -> rig::packet_fleet_settings
{
    constexpr double lookups = 7.0 / 9;
    constexpr double lookup_s = 0.040;
    constexpr double order_s = 0.052;
    const auto slots = shape.service.servers * shape.service.slots;
    const auto mean_s = lookups * lookup_s + (1 - lookups) * order_s;
    const auto per_second = load * slots / mean_s;
    rig::packet_fleet_settings out;
    out.agent.admission = options.admission;
    out.agent.admission.fresh_age_max = milliseconds(options.fresh_ms);
    out.agent.admission.queue_age_max = milliseconds(options.late_ms);
    out.seed = options.seed;
    out.balancers = shape.balancers;
    out.services = {shape.service};
    rig::packet_load lookup;
    lookup.name = "lookup";
    lookup.route = {0xc6120001, 443};
    lookup.service_name = shape.service.name;
    lookup.urgency = 2;
    lookup.per_second = per_second * lookups;
    lookup.aim = shape.aim;
    lookup.deadline = shape.deadline;
    auto order = lookup;
    order.name = "order";
    order.route = {0xc6120001, 8080};
    order.urgency = 1;
    order.per_second = per_second * (1 - lookups);
    order.work = milliseconds(52);
    order.aim = shape.aim * 5 / 4;
    order.deadline = shape.deadline * 5 / 4;
    order.worth = 2;
    order.late_worth = 0.6;
    order.repeatable = false;
    out.loads = {lookup, order};
    return out;
}

// Placement alone by hash, as before: the first of the order takes everything.
auto use_baseline(rig::packet_fleet_settings& settings) -> void
{
    settings.agent.offers_max = 1;
    settings.agent.admission.overcommit_offered = 1000;
    settings.agent.admission.overcommit_settled = 1000;
}

struct queueing_result
{
    double in_aim = 0;
    double served = 0;
    double worth = 0;
    std::int64_t p95_ms = 0;
    std::int64_t p99_ms = 0;
    double messages_per_request = 0;
    // Runs for each request that was answered: over 1 is work for nobody.
    double runs_per_answer = 0;
};

auto measure_fleet(rig::packet_fleet& fleet, millis from, millis until)
    -> queueing_result
{
    const auto& lookup = fleet.caller().tally("lookup");
    queueing_result out;
    out.in_aim = lookup.in_aim_share();
    out.served = lookup.served_share();
    out.worth = fleet.caller().worth_between(from, until);
    out.p95_ms = lookup.percentile_ms(0.95);
    out.p99_ms = lookup.percentile_ms(0.99);
    const auto asked = lookup.asked + fleet.caller().tally("order").asked;
    out.messages_per_request =
        static_cast<double>(fleet.messages()) /
        static_cast<double>(std::max<std::uint64_t>(1, asked));
    const auto answered = lookup.in_aim + lookup.late;
    out.runs_per_answer =
        static_cast<double>(lookup.runs) /
        static_cast<double>(std::max<std::uint64_t>(1, answered));
    return out;
}

auto print(const std::string& placement, const std::string& shape,
           const std::string& scenario, const queueing_result& it) -> void
{
    std::printf("placement=%s shape=%s scenario=%s in_aim=%.4f served=%.4f "
                "worth=%.4f p95_ms=%lld p99_ms=%lld messages=%.1f "
                "runs=%.3f\n",
                placement.c_str(), shape.c_str(), scenario.c_str(), it.in_aim,
                it.served, it.worth, static_cast<long long>(it.p95_ms),
                static_cast<long long>(it.p99_ms), it.messages_per_request,
                it.runs_per_answer);
    std::fflush(stdout);
}

auto run_steady(const fleet_shape& shape, double load, bool baseline,
                const queueing_options& options) -> queueing_result
{
    auto settings = make_settings(shape, load, options);
    if (baseline)
    {
        use_baseline(settings);
    }
    rig::packet_fleet fleet(settings);
    fleet.run_until(seconds(1));
    fleet.start_load();
    fleet.run_until(warm_up);
    fleet.caller().clear_tallies();
    const auto end = warm_up + seconds(options.length_s);
    fleet.run_until(end);
    return measure_fleet(fleet, warm_up, end);
}

// All lose power under load and come back cold; the ten seconds from then on.
auto run_power_loss(const fleet_shape& shape, double load, bool baseline,
                    const queueing_options& options) -> queueing_result
{
    auto settings = make_settings(shape, load, options);
    if (baseline)
    {
        use_baseline(settings);
    }
    rig::packet_fleet fleet(settings);
    fleet.run_until(seconds(1));
    fleet.start_load();
    fleet.run_until(warm_up);
    fleet.caller().clear_tallies();
    fleet.lose_everything(seconds(1));
    const auto end = warm_up + seconds(10);
    fleet.run_until(end + seconds(3));
    return measure_fleet(fleet, warm_up, end);
}

auto is_wanted(const std::string& asked, const std::string& name) -> bool
{
    return asked == "all" || asked == name;
}

auto run_queueing(const queueing_options& options) -> int
{
    auto worst = 1.0;
    for (const auto& shape : shapes())
    {
        if (!is_wanted(options.shape, shape.name))
        {
            continue;
        }
        for (const auto* placement : {"rendezvous", "briardrum"})
        {
            if (!is_wanted(options.placement, placement))
            {
                continue;
            }
            const auto baseline = std::string(placement) == "rendezvous";
            for (const auto load : {0.60, 0.75, 0.90, 1.10})
            {
                if (!is_wanted(options.scenario, "steady"))
                {
                    continue;
                }
                const auto it = run_steady(shape, load, baseline, options);
                const auto name =
                    "steady_" + std::to_string(static_cast<int>(load * 100));
                print(placement, shape.name, name, it);
                if (!baseline && load == ordinary_load)
                {
                    worst = std::min(worst, it.in_aim);
                }
            }
            for (const auto load : {0.60, 0.75})
            {
                if (!is_wanted(options.scenario, "power_loss"))
                {
                    continue;
                }
                const auto it = run_power_loss(shape, load, baseline, options);
                const auto name = "power_loss_" +
                                  std::to_string(static_cast<int>(load * 100));
                print(placement, shape.name, name, it);
            }
        }
    }
    const auto good = worst >= in_aim_target;
    std::printf("measure=queueing value=%.4f target=%.2f verdict=%s\n", worst,
                in_aim_target, good ? "pass" : "fail");
    return good ? 0 : 1;
}

} // namespace

auto add_queueing(CLI::App& app) -> measure
{
    auto options = std::make_shared<queueing_options>();
    auto* command = app.add_subcommand(
        "queueing", "Packet flows: share answered in time at 60 to 110 % load "
                    "and after a power loss, beside placement by hash alone.");
    command->add_option("--seed", options->seed, "the seed");
    command->add_option("--length", options->length_s,
                        "virtual seconds that are counted");
    command->add_option("--placement", options->placement,
                        "briardrum, rendezvous or all");
    command->add_option("--scenario", options->scenario,
                        "steady, power_loss or all");
    command->add_option("--shape", options->shape, "small, grown or all");
    command->add_option("--fresh", options->fresh_ms,
                        "experiment: wait of a flow that is still in time, ms");
    command->add_option("--late", options->late_ms,
                        "experiment: longest wait of all, ms");
    command->add_option("--offered", options->admission.overcommit_offered,
                        "experiment: flows beyond the slots, first offers");
    command->add_option("--settled", options->admission.overcommit_settled,
                        "experiment: flows beyond the slots, last resort");
    command->add_option("--late-per-slot",
                        options->admission.late_flows_per_slot,
                        "experiment: opening packets that wait for a slot");
    return {command, [options]
            {
                return run_queueing(*options);
            }};
}

} // namespace briardrum::bench
