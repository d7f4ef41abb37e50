#include "bench/allocation_counter.hpp"

#include <atomic>
#include <cstdlib>
#include <new>

namespace
{

std::atomic<std::uint64_t> allocations{0};

} // namespace

auto operator new(std::size_t bytes) -> void*
{
    allocations.fetch_add(1, std::memory_order_relaxed);
    if (auto* place = std::malloc(bytes))
    {
        return place;
    }
    throw std::bad_alloc();
}

auto operator delete(void* place) noexcept -> void
{
    std::free(place);
}

auto operator delete(void* place, std::size_t) noexcept -> void
{
    std::free(place);
}

namespace briardrum::bench
{

auto allocation_count() -> std::uint64_t
{
    return allocations.load(std::memory_order_relaxed);
}

} // namespace briardrum::bench
