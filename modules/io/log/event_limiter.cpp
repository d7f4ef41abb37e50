#include "io/log/event_limiter.hpp"

namespace briardrum
{

auto event_limiter::admit(millis now, std::string_view name,
                          std::uint32_t limit) -> bool
{
    auto& row = windows_.insert(std::string(name), {now, 0, 0});
    if (now - row.since >= interval)
    {
        row.since = now;
        row.admitted = 0;
    }
    if (row.admitted >= limit)
    {
        ++row.suppressed;
        return false;
    }
    ++row.admitted;
    return true;
}

auto event_limiter::take_suppressed(millis now)
    -> std::vector<suppressed_events>
{
    std::vector<suppressed_events> out;
    for (auto& [name, row] : windows_.rows())
    {
        if (row.suppressed > 0 && now - row.since >= interval)
        {
            out.push_back({name, row.suppressed});
            row.suppressed = 0;
        }
    }
    return out;
}

} // namespace briardrum
