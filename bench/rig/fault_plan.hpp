#ifndef BRIARDRUM_BENCH_RIG_FAULT_PLAN_HPP
#define BRIARDRUM_BENCH_RIG_FAULT_PLAN_HPP

#include "bench/rig/deployment.hpp"

#include <string>
#include <vector>

namespace briardrum::rig
{

// Which faults a randomised run draws from.
enum class fault_mix : std::uint8_t
{
    // Rolling replacement and drains only, over a lossy network: nothing may
    // break.
    planned,
    // Kills, pauses, cuts and server restarts as well, together and twice:
    // promises hold, flows of killed servers may break.
    everything,
};

// What a randomised run found.
struct run_result
{
    // Broken promises, one line each.
    std::vector<std::string> faults;
    caller_totals sums;
    std::uint64_t fault_count = 0;
    // What was done to the fleet and what callers noticed, in order of time.
    std::vector<std::string> story;
};

// Runs a deployment for this long under faults drawn from the seed, lets it
// come to rest, and checks every promise that the rig can see. The same
// arguments give the same run.
auto run_faults(std::uint64_t seed, const deployment& sizes, fault_mix mix,
                millis length, bool with_events = false) -> run_result;

} // namespace briardrum::rig

#endif
