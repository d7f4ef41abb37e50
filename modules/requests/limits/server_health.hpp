#ifndef BRIARDRUM_REQUESTS_LIMITS_SERVER_HEALTH_HPP
#define BRIARDRUM_REQUESTS_LIMITS_SERVER_HEALTH_HPP

#include "core/core.hpp"

namespace briardrum
{

// Whether the server can be given work, judged by what is heard from it: gone
// (its port is closed), silent (it has requests in progress and says nothing
// for much longer than it usually takes), or well.
class server_health
{
public:
    // Something came from the server.
    auto on_heard(millis now) -> void;

    // Its port is closed or its host is gone.
    auto on_lost(millis now) -> void;

    // It answers its health endpoint.
    auto on_ready() -> void;

    // It was given a request.
    auto on_dispatch(millis now) -> void;

    // True when it may be given this much work: as much as the limit while it
    // is well, else one request at a time to see whether it is back.
    auto may_dispatch(millis now, std::size_t running, std::size_t limit,
                      bool silent) const -> bool;

    // True when nothing was heard for the bound since the oldest run began.
    auto is_silent(millis now, millis oldest_run, millis bound) const -> bool;

    // How long a server may say nothing, given its usual latency.
    static auto silence_timeout(double usual_latency) -> millis;

private:
    bool lost_ = false;
    millis next_probe_;
    // Far in the past: never heard.
    millis last_heard_{INT64_MIN / 2};
};

} // namespace briardrum

#endif
