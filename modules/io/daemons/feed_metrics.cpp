#include "io/daemons/feed_metrics.hpp"

namespace briardrum
{

auto append_feed_metrics(metrics_text& out, const configuration_feed& feed)
    -> void
{
    const auto calls = feed.store_calls_made();
    constexpr auto name = "store_calls_total";
    out.counter(name, calls.range, {"kind", "range"});
    out.counter(name, calls.commit, {"kind", "commit"});
    out.counter(name, calls.lease, {"kind", "lease"});
    out.counter(name, calls.watch, {"kind", "watch"});
    out.counter("store_calls_failed_total", calls.failed);
    out.gauge("store_watcher", feed.spreader().is_watcher() ? 1 : 0);
    out.gauge("store_answers", feed.store_answers() ? 1 : 0);
}

} // namespace briardrum
