#include "bench/measures.hpp"
#include "bench/rig/deployment.hpp"

#include <algorithm>
#include <cstdio>
#include <memory>

namespace briardrum::bench
{

namespace
{

struct broken_options
{
    std::uint64_t seed = 1;
    std::size_t connections = 2000;
    bool baseline = false;
    std::string only;
};

// The targets: none broken that need not be, and new flows elsewhere in time.
constexpr millis avoid_within = seconds(3);
constexpr millis last_new_within = seconds(2);

struct broken_result
{
    rig::caller_totals sums;
    std::vector<std::string> faults;
    // From the change until the last new flow was placed at the server.
    millis last_new_flow;
};

auto agents_of(const rig::rig& fleet, const rig::deployment& sizes)
    -> std::vector<std::string>
{
    std::vector<std::string> names;
    for (const auto& it : sizes.services)
    {
        const auto own = fleet.agents_of(it.name);
        names.insert(names.end(), own.begin(), own.end());
    }
    return names;
}

// The fleet with its callers, most of them idle at any time as real sessions
// are; one in twenty streams.
auto start(rig::rig& fleet, const rig::deployment& sizes,
           const broken_options& options) -> void
{
    if (options.baseline)
    {
        fleet.use_baseline();
    }
    rig::build(fleet, sizes);
    fleet.network().loss = 0.01;
    rig::caller_profile profile;
    profile.think_mean = seconds(20);
    auto streaming = profile;
    streaming.streams = true;
    for (const auto& it : sizes.services)
    {
        const auto count = it.servers * options.connections;
        rig::add_callers(fleet, it.name, count - count / 20, profile,
                         seconds(20));
        rig::add_callers(fleet, it.name, count / 20, streaming, seconds(20));
    }
    fleet.run_for(seconds(40));
}

auto finish(rig::rig& fleet, const rig::deployment& sizes) -> broken_result
{
    fleet.run_for(seconds(60));
    fleet.finish_callers();
    fleet.run_for(seconds(100));
    broken_result result;
    result.faults = fleet.check();
    for (const auto& it : sizes.services)
    {
        const auto& from = fleet.totals(it.name);
        result.sums.sent += from.sent;
        result.sums.answered += from.answered;
        result.sums.missing += from.missing;
        result.sums.wrong += from.wrong;
        result.sums.not_run += from.not_run;
        result.sums.busy += from.busy;
        result.sums.outcome_unknown += from.outcome_unknown;
        result.sums.broken_flows += from.broken_flows;
        result.sums.excused_flows += from.excused_flows;
        for (const auto& note : from.notes)
        {
            if (note.find(" excused ") == std::string::npos)
            {
                result.sums.notes.push_back(note);
            }
        }
    }
    return result;
}

// Drains until quiet, or as long as a server without hand-over is given.
auto drain_and_replace(rig::rig& fleet, const std::string& name, bool baseline)
    -> void
{
    constexpr int checks_max = 120;
    fleet.drain(name);
    fleet.run_for(seconds(3));
    for (int n = 0; n < checks_max && !baseline && !fleet.is_quiet(name); ++n)
    {
        fleet.run_for(milliseconds(500));
    }
    fleet.replace(name);
    fleet.run_for(seconds(8));
}

auto roll_everything(const rig::deployment& sizes,
                     const broken_options& options) -> broken_result
{
    rig::rig fleet(options.seed);
    start(fleet, sizes, options);
    for (std::size_t n = 1; n <= sizes.balancers; ++n)
    {
        fleet.delay_control("b" + std::to_string(n), seconds(3));
    }
    for (const auto& name : agents_of(fleet, sizes))
    {
        drain_and_replace(fleet, name, options.baseline);
    }
    for (std::size_t n = 1; n <= sizes.balancers; ++n)
    {
        const auto name = "b" + std::to_string(n);
        fleet.leave(name);
        fleet.run_for(seconds(4));
        fleet.replace(name);
        fleet.run_for(seconds(6));
    }
    return finish(fleet, sizes);
}

// New callers come all the time, so that the last new flow can be told.
auto add_newcomers(rig::rig& fleet, const std::string& service) -> void
{
    constexpr std::size_t newcomers = 1500;
    rig::caller_profile profile;
    profile.think_mean = seconds(20);
    rig::add_callers(fleet, service, newcomers, profile, seconds(15));
}

// When the server's agent last placed a new flow after the change.
auto last_placed(const std::vector<std::string>& events,
                 const std::string& name, millis changed_at) -> millis
{
    millis last;
    for (const auto& line : events)
    {
        const millis at{std::stoll(line)};
        const auto placed =
            line.find(" " + name + " event=flow_placed") != std::string::npos;
        if (placed && at >= changed_at)
        {
            last = std::max(last, at - changed_at);
        }
    }
    return last;
}

auto leave_unheard(const rig::deployment& sizes, const broken_options& options)
    -> broken_result
{
    rig::rig fleet(options.seed);
    start(fleet, sizes, options);
    const auto service = sizes.services.front().name;
    const auto name = fleet.agents_of(service).front();
    add_newcomers(fleet, service);
    fleet.run_for(seconds(3));
    for (const auto& other : agents_of(fleet, sizes))
    {
        fleet.cut_control(other, "b1");
    }
    fleet.cut_control("b2", "b1");
    fleet.cut_control("b3", "b1");
    std::vector<std::string> events;
    fleet.record_events(&events);
    const auto changed_at = fleet.queue().now();
    fleet.drain(name);
    fleet.run_for(seconds(8));
    fleet.heal();
    fleet.record_events(nullptr);
    const auto last = last_placed(events, name, changed_at);
    auto result = finish(fleet, sizes);
    result.last_new_flow = last;
    return result;
}

auto kill_server(const rig::deployment& sizes, const broken_options& options)
    -> broken_result
{
    rig::rig fleet(options.seed);
    start(fleet, sizes, options);
    const auto service = sizes.services.front().name;
    const auto name = fleet.agents_of(service).front();
    add_newcomers(fleet, service);
    fleet.run_for(seconds(3));
    fleet.excuse_callers_of(name);
    fleet.kill(name);
    const auto killed_at = fleet.queue().now();
    // A balancer that still chose the dead server has a caller retransmit;
    // when none of them does any more, the server is avoided.
    millis avoided_at;
    for (int n = 0; n < 200 && avoided_at == millis{}; ++n)
    {
        fleet.run_for(milliseconds(50));
        auto known = true;
        for (std::size_t b = 1; b <= sizes.balancers; ++b)
        {
            const auto* record = fleet.balancer("b" + std::to_string(b))
                                     .members()
                                     .find(member_id_of(name));
            known = known && record != nullptr &&
                    record->state >= member_state::left;
        }
        avoided_at = known ? fleet.queue().now() : millis{};
    }
    auto result = finish(fleet, sizes);
    result.last_new_flow = avoided_at - killed_at;
    return result;
}

auto lose_data_centre(const rig::deployment& sizes,
                      const broken_options& options) -> broken_result
{
    rig::rig fleet(options.seed);
    start(fleet, sizes, options);
    // One in three of everything, and one balancer more: half of the rest.
    std::vector<std::string> lost;
    for (const auto& it : sizes.services)
    {
        const auto names = fleet.agents_of(it.name);
        for (std::size_t n = 0; n < names.size(); n += 3)
        {
            lost.push_back(names[n]);
        }
    }
    for (const auto& name : lost)
    {
        fleet.excuse_callers_of(name);
    }
    for (const auto& name : lost)
    {
        fleet.kill(name);
    }
    fleet.kill("b1");
    fleet.kill("b2");
    return finish(fleet, sizes);
}

using scenario = broken_result (*)(const rig::deployment&,
                                   const broken_options&);

struct named_scenario
{
    const char* name = nullptr;
    scenario run = nullptr;
    millis last_new_max;
};

auto passes(const broken_result& result, const named_scenario& item) -> bool
{
    const auto in_time = item.last_new_max == millis{} ||
                         result.last_new_flow <= item.last_new_max;
    return result.faults.empty() && result.sums.broken_flows == 0 && in_time;
}

auto run_broken(const broken_options& options) -> int
{
    const named_scenario scenarios[] = {
        {"roll", roll_everything, {}},
        {"leave_unheard", leave_unheard, last_new_within},
        {"kill", kill_server, avoid_within},
        {"data_centre", lose_data_centre, {}},
    };
    std::uint64_t broken = 0;
    std::uint64_t faults = 0;
    bool all = true;
    for (const auto& sizes : {rig::salinecarri(), rig::association()})
    {
        for (const auto& item : scenarios)
        {
            if (!options.only.empty() && options.only != item.name)
            {
                continue;
            }
            const auto result = item.run(sizes, options);
            const auto good = passes(result, item);
            const auto& sums = result.sums;
            std::printf("scenario=%s deployment=%s sent=%lu answered=%lu "
                        "missing=%lu busy=%lu unknown=%lu not_run=%lu "
                        "broken=%lu own_of_killed=%lu last_new_ms=%ld "
                        "promises_broken=%zu verdict=%s\n",
                        item.name, sizes.name.c_str(), sums.sent, sums.answered,
                        sums.missing, sums.busy, sums.outcome_unknown,
                        sums.not_run, sums.broken_flows, sums.excused_flows,
                        result.last_new_flow.count, result.faults.size(),
                        good ? "pass" : "fail");
            for (const auto& it : result.faults)
            {
                std::printf("  %s\n", it.c_str());
            }
            constexpr std::size_t notes_max = 10;
            for (std::size_t n = 0; n < std::min(notes_max, sums.notes.size());
                 ++n)
            {
                std::printf("  %s\n", sums.notes[n].c_str());
            }
            std::fflush(stdout);
            broken += sums.broken_flows;
            faults += result.faults.size();
            all = all && good;
        }
    }
    std::printf("measure=broken broken_flows=%lu promises_broken=%lu "
                "baseline=%s verdict=%s\n",
                broken, faults, options.baseline ? "yes" : "no",
                all ? "pass" : "fail");
    return all ? 0 : 1;
}

} // namespace

auto add_broken(CLI::App& app) -> measure
{
    auto options = std::make_shared<broken_options>();
    auto* command = app.add_subcommand(
        "broken", "Flows broken while servers, balancers and a data centre "
                  "come and go.");
    command->add_option("--seed", options->seed, "seed of the run");
    command->add_option("--connections", options->connections,
                        "flows for each backend server");
    command->add_option("--only", options->only, "one scenario by its name");
    command->add_flag("--baseline", options->baseline,
                      "balancers decide alone, by rendezvous hashing");
    return {command, [options]
            {
                return run_broken(*options);
            }};
}

} // namespace briardrum::bench
