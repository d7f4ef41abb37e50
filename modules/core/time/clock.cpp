#include "core/time/clock.hpp"

#include <chrono>

namespace briardrum
{

namespace
{

template <typename Clock>
auto read() -> millis
{
    const auto since = Clock::now().time_since_epoch();
    return {
        std::chrono::duration_cast<std::chrono::milliseconds>(since).count()};
}

} // namespace

auto clock::now() -> millis
{
    return read<std::chrono::steady_clock>();
}

auto clock::wall() -> millis
{
    return read<std::chrono::system_clock>();
}

} // namespace briardrum
