#ifndef BRIARDRUM_REQUESTS_LIMITS_SERVER_HEALTH_HPP
#define BRIARDRUM_REQUESTS_LIMITS_SERVER_HEALTH_HPP

#include "core/core.hpp"

namespace briardrum
{

// Decides whether the server may be given work, from what is received from it.
// The server is lost (its port is closed), silent (requests are running but it
// has sent nothing for much longer than its usual latency), or healthy.
class server_health
{
public:
    // A datagram arrived from the server.
    auto on_heard(millis now) -> void;

    // The server's port is closed or its host is unreachable.
    auto on_lost(millis now) -> void;

    // The server answers its health endpoint.
    auto on_ready() -> void;

    // A request was sent to the server.
    auto on_dispatch(millis now) -> void;

    // True if one more request may be dispatched: up to the limit while the
    // server is healthy, otherwise one request at a time as a probe.
    auto may_dispatch(millis now, std::size_t running, std::size_t limit,
                      bool silent) const -> bool;

    // True if nothing was received for the timeout, counted from the last
    // datagram or the oldest run, whichever is later.
    auto is_silent(millis now, millis oldest_run, millis timeout) const -> bool;

    // Time without any datagram after which a server with this usual latency,
    // in milliseconds, counts as silent.
    static auto silence_timeout(double usual_latency) -> millis;

private:
    bool lost_ = false;
    millis next_probe_;
    // Initially far in the past: nothing was ever received.
    millis last_heard_{INT64_MIN / 2};
};

} // namespace briardrum

#endif
