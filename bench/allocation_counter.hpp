#ifndef BRIARDRUM_BENCH_ALLOCATION_COUNTER_HPP
#define BRIARDRUM_BENCH_ALLOCATION_COUNTER_HPP

#include <cstdint>

namespace briardrum::bench
{

// Allocations by operator new in this process so far.
auto allocation_count() -> std::uint64_t;

} // namespace briardrum::bench

#endif
