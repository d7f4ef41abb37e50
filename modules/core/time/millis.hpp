#ifndef BRIARDRUM_CORE_TIME_MILLIS_HPP
#define BRIARDRUM_CORE_TIME_MILLIS_HPP

#include <compare>
#include <cstdint>

namespace briardrum
{

// A point in time or a duration, in milliseconds. Decision code receives the
// current time as an argument; daemons read it from clock.
struct millis
{
    std::int64_t count = 0;

    // clang-tidy 14 mistakes the zero of a defaulted comparison for a pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const millis&) const = default;

    constexpr auto operator+(millis other) const -> millis
    {
        return {count + other.count};
    }

    constexpr auto operator-(millis other) const -> millis
    {
        return {count - other.count};
    }

    constexpr auto operator*(std::int64_t factor) const -> millis
    {
        return {count * factor};
    }

    constexpr auto operator/(std::int64_t divisor) const -> millis
    {
        return {count / divisor};
    }

    constexpr auto operator+=(millis other) -> millis&
    {
        count += other.count;
        return *this;
    }
};

// Durations given in milliseconds, seconds or minutes.
constexpr auto milliseconds(std::int64_t n) -> millis
{
    return {n};
}

constexpr auto seconds(std::int64_t n) -> millis
{
    return {n * 1000};
}

constexpr auto minutes(std::int64_t n) -> millis
{
    return seconds(n * 60);
}

} // namespace briardrum

#endif
