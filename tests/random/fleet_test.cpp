#include "bench/rig/fault_plan.hpp"

#include <doctest/doctest.h>

using namespace briardrum;
using namespace briardrum::rig;

namespace
{

auto check_run(std::uint64_t seed, const deployment& sizes, fault_mix mix)
    -> void
{
    const auto result = run_faults(seed, sizes, mix, seconds(60));
    CAPTURE(seed);
    CAPTURE(sizes.name);
    for (const auto& it : result.faults)
    {
        FAIL_CHECK(it);
    }
    CHECK(result.sums.answered > 0);
}

} // namespace

TEST_CASE("planned changes over a lossy network cause no faults")
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed)
    {
        check_run(seed, salinecarri(), fault_mix::planned);
        check_run(seed, association(), fault_mix::planned);
    }
}

TEST_CASE("all guarantees hold under faults of all kinds")
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed)
    {
        check_run(seed, salinecarri(), fault_mix::everything);
        check_run(seed, association(), fault_mix::everything);
    }
}
