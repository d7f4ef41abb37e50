#include "requests/limits/server_health.hpp"

#include <algorithm>
#include <cmath>

namespace briardrum
{

namespace
{

// A server is silent after this multiple of its usual latency, within these
// bounds.
constexpr millis silence_min = seconds(2);
constexpr millis silence_max = seconds(30);
constexpr double silence_ratio = 8;
// Interval between probe requests to a lost server.
constexpr millis probe_interval = seconds(1);

} // namespace

auto server_health::on_heard(millis now) -> void
{
    last_heard_ = now;
    lost_ = false;
}

auto server_health::on_lost(millis now) -> void
{
    lost_ = true;
    next_probe_ = now + probe_interval;
}

auto server_health::on_ready() -> void
{
    lost_ = false;
}

auto server_health::on_dispatch(millis now) -> void
{
    next_probe_ = now + probe_interval;
}

auto server_health::may_dispatch(millis now, std::size_t running,
                                 std::size_t limit, bool silent) const -> bool
{
    if (lost_)
    {
        return running == 0 && now >= next_probe_;
    }
    return running < (silent ? 1 : limit);
}

auto server_health::is_silent(millis now, millis oldest_run,
                              millis timeout) const -> bool
{
    return now - std::max(last_heard_, oldest_run) >= timeout;
}

auto server_health::silence_timeout(double usual_latency) -> millis
{
    const millis timeout{std::llround(silence_ratio * usual_latency)};
    return std::clamp(timeout, silence_min, silence_max);
}

} // namespace briardrum
