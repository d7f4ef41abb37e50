#include "bench/measures.hpp"
#include "bench/rig/packets/packet_fleet.hpp"
#include "report/metrics/latency_histogram.hpp"

#include <cstdio>
#include <memory>
#include <vector>

namespace briardrum::bench
{

namespace
{

// A third of the first customer's agents, its balancers, and its live feed; in
// the model each request opens a flow of its own.
constexpr std::uint32_t balancers = 20;
constexpr std::uint32_t servers = 17;
constexpr std::uint32_t slots = 2;
constexpr millis work = milliseconds(22);
constexpr millis objective = milliseconds(200);
constexpr millis deadline = milliseconds(1500);
constexpr double tail_share = 0.03;
constexpr double tail_factor = 7;
// Hedging begins five seconds after the start.
constexpr millis warm_up = seconds(8);

// Faults: a server stops for a second in every five, another works at a quarter
// of its speed, and the link of a third loses packets.
constexpr std::size_t frozen_server = 0;
constexpr millis frozen_for = seconds(1);
constexpr millis frozen_every = seconds(5);
constexpr std::size_t slow_server = 1;
constexpr double slow_factor = 4;
constexpr std::size_t lossy_server = 2;
constexpr double lossy_share = 0.03;

// Target. Operators accept extra work for shorter slow answers: at loads at
// which idle slots exist, hedging must take at least a tenth off the share of
// requests beyond the objective; at no load may it add a twentieth to that
// share, and extra openings must stay within the share and the caps.
constexpr double improvement_target = 0.10;
constexpr double harm_limit = 0.05;
constexpr double busy_load = 0.9;

struct hedging_options
{
    std::uint64_t seed = 1;
    std::uint32_t runs = 3;
    std::int64_t length_s = 60;
    double share = 0.02;
    double percentile = 95;
    std::string faults = "all";
};

enum class variant : std::uint8_t
{
    without,
    hedging,
    placement,
};

struct hedging_result
{
    latency_histogram times;
    std::uint64_t requests = 0;
    std::uint64_t beyond = 0;
    std::uint64_t misrouted = 0;
    std::uint64_t broken = 0;
    rig::hedge_sums hedges;

    auto beyond_share() const -> double
    {
        return static_cast<double>(beyond) /
               static_cast<double>(std::max<std::uint64_t>(1, requests));
    }
};

auto name_of(variant which) -> const char*
{
    switch (which)
    {
    case variant::without:
        return "without";
    case variant::hedging:
        return "hedging";
    case variant::placement:
        break;
    }
    return "placement";
}

auto make_settings(double load, variant which, const hedging_options& options,
                   std::uint64_t seed) -> rig::packet_fleet_settings
{
    const auto mean_s = static_cast<double>(work.count) / 1000 *
                        (1 + tail_share * (tail_factor - 1));
    rig::packet_load feed;
    feed.name = "feed";
    feed.route = {0xc6120001, 443};
    feed.service_name = "feed";
    feed.per_second = load * servers * slots / mean_s;
    feed.work = work;
    feed.aim = objective;
    feed.deadline = deadline;
    feed.tail_share = tail_share;
    feed.tail_factor = tail_factor;
    rig::packet_fleet_settings out;
    out.seed = seed;
    out.balancers = balancers;
    out.services = {{"feed", servers, slots}};
    out.loads = {feed};
    out.hedging.enabled = which == variant::hedging;
    out.hedging.share = options.share;
    out.hedging.percentile = options.percentile;
    // Better placement alone: first offers use idle slots only, as hedges do.
    if (which == variant::placement)
    {
        out.agent.admission.overcommit_offered = 0;
    }
    return out;
}

auto has_fault(const hedging_options& options, const std::string& name) -> bool
{
    return options.faults == "all" || options.faults == name;
}

auto freeze_at_intervals(rig::packet_fleet& fleet) -> void
{
    fleet.freeze_server(frozen_server, frozen_for);
    fleet.events().after(frozen_every,
                         [&fleet]
                         {
                             freeze_at_intervals(fleet);
                         });
}

auto run_once(double load, variant which, const hedging_options& options,
              std::uint64_t seed, hedging_result& out) -> void
{
    rig::packet_fleet fleet(make_settings(load, which, options, seed));
    fleet.run_until(seconds(1));
    if (has_fault(options, "slow"))
    {
        fleet.slow_server(slow_server, slow_factor);
    }
    if (has_fault(options, "lossy"))
    {
        fleet.set_agent_loss(lossy_server, lossy_share);
    }
    fleet.start_load();
    fleet.run_until(warm_up);
    if (has_fault(options, "frozen"))
    {
        freeze_at_intervals(fleet);
    }
    fleet.caller().clear_tallies();
    const auto before = fleet.hedges();
    fleet.run_until(warm_up + seconds(options.length_s));
    const auto& tally = fleet.caller().tally("feed");
    for (const auto ms : tally.times_ms)
    {
        out.times.add(milliseconds(ms));
    }
    for (std::uint64_t n = 0; n < tally.failed; ++n)
    {
        out.times.add(deadline);
    }
    out.requests += tally.in_aim + tally.late + tally.failed;
    out.beyond += tally.late + tally.failed;
    out.misrouted += fleet.misrouted();
    out.broken += fleet.broken_flows();
    const auto after = fleet.hedges();
    out.hedges.openings += after.openings - before.openings;
    out.hedges.sent += after.sent - before.sent;
    out.hedges.over_budget += after.over_budget - before.over_budget;
    out.hedges.not_calm += after.not_calm - before.not_calm;
    out.hedges.started += after.started - before.started;
    out.hedges.won += after.won - before.won;
    out.hedges.refused_by_load +=
        after.refused_by_load - before.refused_by_load;
}

auto share_of(std::uint64_t part, std::uint64_t all) -> double
{
    return static_cast<double>(part) /
           static_cast<double>(std::max<std::uint64_t>(1, all));
}

auto print(double load, variant which, const hedging_result& it) -> void
{
    const auto at = [&](double share)
    {
        return static_cast<long long>(it.times.percentile(share).count);
    };
    std::printf("load=%.2f variant=%-9s requests=%llu p50_ms=%lld p99_ms=%lld "
                "p999_ms=%lld beyond=%.5f sent=%.5f started=%.5f won=%.5f "
                "over_budget=%.5f not_calm=%.5f no_idle_slot=%.5f\n",
                load, name_of(which),
                static_cast<unsigned long long>(it.requests), at(0.5), at(0.99),
                at(0.999), it.beyond_share(),
                share_of(it.hedges.sent, it.hedges.openings),
                share_of(it.hedges.started, it.hedges.openings),
                share_of(it.hedges.won, it.hedges.openings),
                share_of(it.hedges.over_budget, it.hedges.openings),
                share_of(it.hedges.not_calm, it.hedges.openings),
                share_of(it.hedges.refused_by_load, it.hedges.openings));
    std::fflush(stdout);
}

auto measure_variant(double load, variant which, const hedging_options& options)
    -> hedging_result
{
    hedging_result out;
    for (std::uint32_t n = 0; n < options.runs; ++n)
    {
        run_once(load, which, options, options.seed + n, out);
    }
    print(load, which, out);
    return out;
}

auto run_hedging(const hedging_options& options) -> int
{
    auto good = true;
    auto least_gain = 1.0;
    auto most_extra = 0.0;
    for (const auto load : {0.3, 0.6, busy_load})
    {
        const auto without = measure_variant(load, variant::without, options);
        const auto with = measure_variant(load, variant::hedging, options);
        const auto placed = measure_variant(load, variant::placement, options);
        const auto gain = without.beyond == 0 ? 0
                                              : 1 - with.beyond_share() /
                                                        without.beyond_share();
        const auto caps = hedging_settings{}.cap * balancers * options.runs;
        const auto allowed =
            options.share + share_of(caps, with.hedges.openings);
        const auto extra = share_of(with.hedges.sent, with.hedges.openings);
        const auto needed = load < busy_load ? improvement_target : -harm_limit;
        least_gain = load < busy_load ? std::min(least_gain, gain) : least_gain;
        most_extra = std::max(most_extra, extra);
        good = good && gain >= needed && extra <= allowed &&
               with.misrouted + placed.misrouted == 0 &&
               with.broken <= without.broken;
        std::printf("load=%.2f gain=%.3f needed=%.2f extra=%.5f allowed=%.5f "
                    "misrouted=%llu broken=%llu broken_without=%llu\n",
                    load, gain, needed, extra, allowed,
                    static_cast<unsigned long long>(with.misrouted),
                    static_cast<unsigned long long>(with.broken),
                    static_cast<unsigned long long>(without.broken));
    }
    std::printf("measure=hedging value=%.3f target=%.2f extra=%.5f "
                "verdict=%s\n",
                least_gain, improvement_target, most_extra,
                good ? "pass" : "fail");
    return good ? 0 : 1;
}

} // namespace

auto add_hedging(CLI::App& app) -> measure
{
    auto options = std::make_shared<hedging_options>();
    auto* command = app.add_subcommand(
        "hedging", "Extra opening packets: percentiles and extra work at 30, "
                   "60 and 90 % load with faults, beside none and beside "
                   "better placement alone.");
    command->add_option("--seed", options->seed, "the first seed");
    command->add_option("--runs", options->runs, "runs of each variant");
    command->add_option("--length", options->length_s,
                        "virtual seconds that are counted in each run");
    command->add_option("--share", options->share,
                        "extra opening packets allowed, of all");
    command->add_option("--percentile", options->percentile,
                        "percentile of openings that is the delay");
    command->add_option("--faults", options->faults,
                        "frozen, slow, lossy, none or all");
    return {command, [options]
            {
                return run_hedging(*options);
            }};
}

} // namespace briardrum::bench
