#include "bench/measures.hpp"
#include "bench/rig/fault_plan.hpp"

#include <cstdio>
#include <memory>

namespace briardrum::bench
{

namespace
{

struct soak_options
{
    std::uint64_t seeds = 20;
    std::uint64_t from = 1;
    std::int64_t length_s = 60;
    std::string mix = "both";
    std::string deployment = "both";
    bool story = false;
    bool events = false;
};

auto run_one(std::uint64_t seed, const rig::deployment& sizes,
             rig::fault_mix mix, const soak_options& options) -> bool
{
    const auto result = rig::run_faults(
        seed, sizes, mix, seconds(options.length_s), options.events);
    const auto* name =
        mix == rig::fault_mix::planned ? "planned" : "everything";
    const auto& sums = result.sums;
    std::printf(
        "seed=%lu deployment=%s mix=%s faults=%lu sent=%lu answered=%lu "
        "missing=%lu not_run=%lu busy=%lu unknown=%lu broken=%lu "
        "excused=%lu wrong=%lu verdict=%s\n",
        seed, sizes.name.c_str(), name, result.fault_count, sums.sent,
        sums.answered, sums.missing, sums.not_run, sums.busy,
        sums.outcome_unknown, sums.broken_flows, sums.excused_flows, sums.wrong,
        result.faults.empty() ? "pass" : "fail");
    for (const auto& it : result.faults)
    {
        std::printf("  %s\n", it.c_str());
    }
    if (options.story || options.events)
    {
        for (const auto& it : result.story)
        {
            std::printf("%s\n", it.c_str());
        }
    }
    std::fflush(stdout);
    return result.faults.empty();
}

auto run_soak(const soak_options& options) -> int
{
    std::uint64_t failed = 0;
    for (auto seed = options.from; seed < options.from + options.seeds; ++seed)
    {
        for (const auto& sizes : {rig::salinecarri(), rig::association()})
        {
            for (const auto mix :
                 {rig::fault_mix::planned, rig::fault_mix::everything})
            {
                const auto planned = mix == rig::fault_mix::planned;
                const auto wanted =
                    (options.mix == "both" ||
                     options.mix == (planned ? "planned" : "everything")) &&
                    (options.deployment == "both" ||
                     options.deployment == sizes.name);
                if (wanted && !run_one(seed, sizes, mix, options))
                {
                    ++failed;
                }
            }
        }
    }
    std::printf("measure=soak seeds=%lu failed=%lu verdict=%s\n", options.seeds,
                failed, failed == 0 ? "pass" : "fail");
    return failed == 0 ? 0 : 1;
}

} // namespace

auto add_soak(CLI::App& app) -> measure
{
    auto options = std::make_shared<soak_options>();
    auto* command = app.add_subcommand(
        "soak", "Randomised runs under faults; each line replays with its "
                "seed.");
    command->add_option("--seeds", options->seeds, "how many seeds");
    command->add_option("--from", options->from, "the first seed");
    command->add_option("--length", options->length_s,
                        "virtual seconds of faults in each run");
    command->add_option("--mix", options->mix, "planned, everything or both");
    command->add_option("--deployment", options->deployment,
                        "salinecarri, association or both");
    command->add_flag("--story", options->story,
                      "print the faults caused and what callers noticed");
    command->add_flag("--events", options->events,
                      "print every event of every node as well");
    return {command, [options]
            {
                return run_soak(*options);
            }};
}

} // namespace briardrum::bench
