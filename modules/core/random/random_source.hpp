#ifndef BRIARDRUM_CORE_RANDOM_RANDOM_SOURCE_HPP
#define BRIARDRUM_CORE_RANDOM_RANDOM_SOURCE_HPP

#include <cstdint>
#include <pcg_random.hpp>

namespace briardrum
{

// Pseudo-random numbers for jitter, gossip targets and tests. A seed produces
// the same sequence on every machine, so that runs are reproducible.
class random_source
{
public:
    explicit random_source(std::uint64_t seed) : engine_(seed) {}

    // Uniform in [0, bound). Returns 0 if bound is 0.
    auto below(std::uint64_t bound) -> std::uint64_t
    {
        return bound == 0 ? 0 : engine_(bound);
    }

    // Uniform in [0, 1).
    auto unit() -> double
    {
        constexpr double steps = 9007199254740992.0; // 2^53
        return static_cast<double>(engine_() >> 11U) / steps;
    }

    // Returns true with the given probability, which is in [0, 1].
    auto chance(double probability) -> bool
    {
        return unit() < probability;
    }

    auto bits() -> std::uint64_t
    {
        return engine_();
    }

private:
    pcg64 engine_;
};

} // namespace briardrum

#endif
