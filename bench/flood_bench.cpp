#include "bench/measures.hpp"
#include "bench/rig/deployment.hpp"

#include <algorithm>
#include <boost/histogram.hpp>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

namespace briardrum::bench
{

namespace
{

using rig::caller_totals;

constexpr double kept_target = 0.99;
constexpr double p99_ratio_target = 2;
constexpr double flooded_target = 0.9;

// Packets that one balancer forwards in a millisecond: three of them carry
// twice the fleet's ordinary load, and a fraction of the flood.
constexpr std::size_t packets_per_ms = 1;

constexpr millis work_mean = milliseconds(20);
constexpr millis think_mean = seconds(1);
// Callers of the flood; each sends on and waits for no answer.
constexpr std::uint32_t flood_callers = 20000;
constexpr std::uint32_t flood_network = 0xc6120000;
constexpr std::uint16_t flood_first_port = 1024;
constexpr millis flood_head_start = seconds(2);
constexpr millis warm_up = seconds(10);
constexpr millis window = seconds(20);
constexpr millis patience = seconds(10);
constexpr double ordinary_load = 0.7;

// What happens besides the flood.
enum class trouble : std::uint8_t
{
    none,
    balancer_dies_and_servers_drain,
};

struct flood_case
{
    std::string name;
    std::string kept_service;
    std::string flooded_service;
    double flood_factor = 20;
    trouble also = trouble::none;
};

// What one service got during the window.
struct service_figures
{
    double sent_per_second = 0;
    double answered_per_second = 0;
    double p99_ms = 0;
};

struct flood_figures
{
    service_figures kept;
    service_figures flooded;
    // Requests that the flooded service's servers completed, of what they can.
    double flooded_goodput = 0;
    double flood_per_second = 0;
};

auto seconds_of(millis span) -> double
{
    constexpr double per_second = 1000;
    return static_cast<double>(span.count) / per_second;
}

auto requests_per_second(const rig::deployment& fleet, const std::string& name)
    -> double
{
    for (const auto& it : fleet.services)
    {
        if (it.name == name)
        {
            return static_cast<double>(it.servers) * it.slots /
                   seconds_of(work_mean);
        }
    }
    return 0;
}

auto completed_by(rig::rig& fleet, const std::string& service) -> std::uint64_t
{
    std::uint64_t total = 0;
    for (const auto& name : fleet.agents_of(service))
    {
        total += fleet.server(name).completed();
    }
    return total;
}

// The 99th percentile over all requests of the window that ended: one that
// was refused or got no answer counts as the whole patience of its caller.
auto p99_of(const caller_totals& before, const caller_totals& after) -> double
{
    constexpr double share = 0.99;
    constexpr int bins = 2000;
    auto histogram =
        boost::histogram::make_histogram(boost::histogram::axis::regular<>(
            bins, 0, static_cast<double>(patience.count) + 1));
    for (auto n = before.latencies.size(); n < after.latencies.size(); ++n)
    {
        histogram(
            static_cast<double>(std::min(after.latencies[n], patience.count)));
    }
    const auto failed = (after.busy - before.busy) +
                        (after.missing - before.missing) +
                        (after.outcome_unknown - before.outcome_unknown);
    for (std::uint64_t n = 0; n < failed; ++n)
    {
        histogram(static_cast<double>(patience.count));
    }
    const auto total = boost::histogram::algorithm::sum(histogram);
    double seen = 0;
    for (auto&& bin : boost::histogram::indexed(histogram))
    {
        seen += *bin;
        if (seen >= share * total)
        {
            return bin.bin().upper();
        }
    }
    return static_cast<double>(patience.count);
}

auto figures_of(const caller_totals& before, const caller_totals& after)
    -> service_figures
{
    const auto span = seconds_of(window);
    return {static_cast<double>(after.sent - before.sent) / span,
            static_cast<double>(after.answered - before.answered) / span,
            p99_of(before, after)};
}

auto add_load(rig::rig& fleet, const std::string& service, double per_second,
              millis think) -> void
{
    rig::caller_profile profile;
    profile.think_mean = think;
    profile.confirm_share = 0;
    profile.patience = patience;
    const auto callers = per_second * seconds_of(think);
    rig::add_callers(fleet, service, static_cast<std::size_t>(callers), profile,
                     think);
}

// An open loop of lookups, so that what is dropped slows nothing down.
class flood_source
{
public:
    flood_source(rig::rig& fleet, std::string service, double per_second)
        : fleet_(fleet), service_(std::move(service)), per_second_(per_second)
    {
    }

    auto start() -> void
    {
        due_ += per_second_ * seconds_of(milliseconds(1));
        for (; due_ >= 1; --due_)
        {
            send();
        }
        fleet_.queue().after(milliseconds(1),
                             [this]
                             {
                                 start();
                             });
    }

    auto sent() const -> std::uint32_t
    {
        return sent_;
    }

private:
    // A non-confirmable GET with its number as message id, token and payload.
    auto send() -> void
    {
        const auto number = ++sent_;
        const auto key = "flood-" + std::to_string(number);
        byte_buffer datagram = {0x54, 0x01};
        for (const auto shift : {8U, 0U, 24U, 16U, 8U, 0U})
        {
            datagram.push_back(static_cast<std::uint8_t>(number >> shift));
        }
        datagram.push_back(0xff);
        datagram.insert(datagram.end(), key.begin(), key.end());
        const auto port = flood_first_port + number % flood_callers;
        fleet_.inject({flood_network, static_cast<std::uint16_t>(port)},
                      service_, datagram);
    }

    rig::rig& fleet_;
    std::string service_;
    double per_second_;
    double due_ = 0;
    std::uint32_t sent_ = 0;
};

auto cause_trouble(rig::rig& fleet, const flood_case& what) -> void
{
    if (what.also == trouble::balancer_dies_and_servers_drain)
    {
        fleet.kill("b2");
        fleet.drain(what.flooded_service + "-1");
        fleet.drain(what.kept_service + "-1");
    }
}

// Share of the flooded service's servers that do not drain.
auto share_left(const rig::deployment& sizes, const flood_case& what) -> double
{
    if (what.also == trouble::none)
    {
        return 1;
    }
    const auto per_server =
        std::find_if(sizes.services.begin(), sizes.services.end(),
                     [&](const rig::service_size& it)
                     {
                         return it.name == what.flooded_service;
                     });
    const auto servers = static_cast<double>(per_server->servers);
    return (servers - 1) / servers;
}

// flooded is false for the quiet run that a flood is compared with.
auto run_case(const flood_case& what, bool flooded, bool first_in_first_out,
              std::uint64_t seed) -> flood_figures
{
    const auto sizes = rig::association();
    rig::rig fleet(seed);
    rig::server_profile server;
    server.work_mean = work_mean;
    rig::build(fleet, sizes, server);
    fleet.limit_balancers(packets_per_ms, first_in_first_out);
    for (const auto& it : sizes.services)
    {
        const auto capacity = requests_per_second(sizes, it.name);
        add_load(fleet, it.name, capacity * ordinary_load, think_mean);
    }
    fleet.run_for(warm_up);
    const auto capacity = requests_per_second(sizes, what.flooded_service);
    flood_source flood(fleet, what.flooded_service,
                       capacity * what.flood_factor);
    if (flooded)
    {
        flood.start();
        fleet.run_for(flood_head_start);
        cause_trouble(fleet, what);
    }
    const auto flood_sent = flood.sent();
    const auto kept = fleet.totals(what.kept_service);
    const auto other = fleet.totals(what.flooded_service);
    const auto completed = completed_by(fleet, what.flooded_service);
    fleet.run_for(window);
    flood_figures out;
    out.kept = figures_of(kept, fleet.totals(what.kept_service));
    out.flooded = figures_of(other, fleet.totals(what.flooded_service));
    const auto done = completed_by(fleet, what.flooded_service) - completed;
    const auto left = capacity * share_left(sizes, what);
    out.flooded_goodput =
        static_cast<double>(done) / (left * seconds_of(window));
    out.flood_per_second =
        static_cast<double>(flood.sent() - flood_sent) / seconds_of(window);
    return out;
}

struct flood_options
{
    std::uint64_t seed = 1;
    double factor = 20;
    bool first_in_first_out = false;
};

auto run_flood(const flood_options& options) -> int
{
    const std::vector<flood_case> cases = {
        {"bulk floods", "orders", "surveys", options.factor, trouble::none},
        {"urgent floods", "surveys", "orders", options.factor, trouble::none},
        {"bulk floods, balancer dies, servers drain", "orders", "surveys",
         options.factor, trouble::balancer_dies_and_servers_drain}};
    double kept = 1;
    double p99_ratio = 0;
    double goodput = 1;
    std::printf("seed=%lu factor=%.0f queue=%s\n", options.seed, options.factor,
                options.first_in_first_out ? "fifo" : "shares");
    for (const auto& it : cases)
    {
        const auto quiet =
            run_case(it, false, options.first_in_first_out, options.seed);
        const auto flood =
            run_case(it, true, options.first_in_first_out, options.seed);
        const auto share =
            flood.kept.answered_per_second / quiet.kept.answered_per_second;
        const auto ratio = flood.kept.p99_ms / quiet.kept.p99_ms;
        std::printf("case=\"%s\" kept_service=%s kept=%.4f p99_quiet_ms=%.0f "
                    "p99_flood_ms=%.0f flood_datagrams_per_s=%.0f "
                    "flooded_goodput=%.3f\n",
                    it.name.c_str(), it.kept_service.c_str(), share,
                    quiet.kept.p99_ms, flood.kept.p99_ms,
                    flood.flood_per_second, flood.flooded_goodput);
        kept = std::min(kept, share);
        p99_ratio = std::max(p99_ratio, ratio);
        goodput = std::min(goodput, flood.flooded_goodput);
    }
    const auto pass = kept >= kept_target && p99_ratio < p99_ratio_target &&
                      goodput >= flooded_target;
    std::printf("measure=flood kept=%.4f p99_ratio=%.2f flooded_goodput=%.3f "
                "verdict=%s\n",
                kept, p99_ratio, goodput, pass ? "pass" : "fail");
    return pass ? 0 : 1;
}

} // namespace

auto add_flood(CLI::App& app) -> measure
{
    auto options = std::make_shared<flood_options>();
    auto* command = app.add_subcommand(
        "flood", "What other work keeps while one service is flooded");
    command->add_option("--seed", options->seed);
    command->add_option("--factor", options->factor,
                        "Flood, in capacities of the flooded service");
    command->add_flag("--fifo", options->first_in_first_out,
                      "Baseline: one queue, first in first out, no shares");
    return {command, [options]
            {
                return run_flood(*options);
            }};
}

} // namespace briardrum::bench
