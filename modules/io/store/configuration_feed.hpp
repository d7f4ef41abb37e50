#ifndef BRIARDRUM_IO_STORE_CONFIGURATION_FEED_HPP
#define BRIARDRUM_IO_STORE_CONFIGURATION_FEED_HPP

#include "config/settings/process_settings.hpp"
#include "io/store/store_client.hpp"
#include "membership/membership.hpp"
#include "node/distribution/configuration_distributor.hpp"
#include "node/store/store_watcher.hpp"

#include <functional>
#include <memory>
#include <optional>

namespace briardrum
{

struct configuration_feed_hooks
{
    std::function<void(const endpoint&, const control_message&)> send;
    // Runs a task on the process's thread.
    std::function<void(std::function<void()>)> post;
    std::function<void(millis, std::shared_ptr<const configuration>)> adopted;
    event_sink events;
};

// Brings a daemon the newest configuration: from its peers, and from the
// store while it is one of its data centre's watchers.
//
// Create it beside the daemon's core, pass it every control message, and call
// tick() every 100 ms or so. Without a store it takes the configuration of
// its peers and of on_file().
class configuration_feed
{
public:
    // members must outlive the feed.
    configuration_feed(const std::optional<store_settings>& store,
                       member_view& members,
                       const configuration_feed_hooks& hooks,
                       std::uint64_t seed);

    // A configuration from the daemon's command line.
    auto on_file(millis now, std::shared_ptr<const configuration> next) -> void;

    // False for kinds of messages that are not about configurations.
    auto on_control(millis now, const control_message& message) -> bool;

    auto tick(millis now) -> void;

    auto spreader() const -> const configuration_distributor&;

    // False while this process is a watcher and the store does not answer.
    auto store_answers() const -> bool;

    auto store_calls_made() const -> store_call_counts;

private:
    configuration_distributor spreader_;
    std::unique_ptr<store_client> client_;
    std::unique_ptr<store_watcher> watcher_;
};

} // namespace briardrum

#endif
