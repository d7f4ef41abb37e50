#ifndef BRIARDRUM_IO_DAEMONS_FEED_METRICS_HPP
#define BRIARDRUM_IO_DAEMONS_FEED_METRICS_HPP

#include "io/http/metrics_text.hpp"
#include "io/store/configuration_feed.hpp"

namespace briardrum
{

// Adds what a daemon's configuration feed does: its calls to the store by
// kind, whether it is a watcher, and whether the store answers it.
auto append_feed_metrics(metrics_text& out, const configuration_feed& feed)
    -> void;

} // namespace briardrum

#endif
