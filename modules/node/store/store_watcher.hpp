#ifndef BRIARDRUM_NODE_STORE_STORE_WATCHER_HPP
#define BRIARDRUM_NODE_STORE_STORE_WATCHER_HPP

#include "config/config.hpp"
#include "core/core.hpp"
#include "node/store/configuration_load.hpp"
#include "node/store/store_layout.hpp"

#include <functional>
#include <memory>
#include <optional>

namespace briardrum
{

struct store_watcher_settings
{
    // Between two polls of the root value, in addition to the watch.
    millis poll_interval = seconds(3);
    // How long the watch may lag behind a polled revision.
    millis watch_lag_max = milliseconds(500);
    // Bounds of the delay between two attempts while the store does not answer.
    millis retry_min = milliseconds(200);
    millis retry_max = seconds(3);
};

struct store_watcher_hooks
{
    // Returns the newest configuration of this process, or nullptr.
    std::function<std::shared_ptr<const configuration>()> current_configuration;
    // Called with the stored configuration; the version may be the same as or
    // older than in an earlier call.
    std::function<void(millis, std::shared_ptr<const configuration>)>
        on_configuration;
    event_sink events;
};

// Follows the configuration in the store while its process is a watcher.
//
// Reads the root value, loads the whole configuration only if the root names
// another version than the process has, and watches from that revision. A watch
// that ends, or that delivers nothing although the root value has changed, is
// reopened where it stopped, so that missed changes arrive as events; if the
// new watch delivers nothing either, or the store was restored from an older
// copy, the whole configuration is loaded. During an outage it only retries, at
// bounded intervals.
class store_watcher
{
public:
    store_watcher(store& source, store_layout layout,
                  store_watcher_settings settings, store_watcher_hooks hooks,
                  std::uint64_t seed);
    ~store_watcher();
    store_watcher(const store_watcher&) = delete;
    auto operator=(const store_watcher&) -> store_watcher& = delete;

    // Follows the store while is_watcher is true; call about every 100 ms.
    auto tick(millis now, bool is_watcher) -> void;

    // True when the last call to the store was answered.
    auto store_answers() const -> bool;

    // Number of watches reopened because they delivered no events.
    auto silent_watches() const -> std::uint64_t;

private:
    enum class phase : std::uint8_t
    {
        off,
        waiting,
        reading,
        watching,
    };

    auto start(millis now) -> void;
    auto stop() -> void;
    auto discard_base() -> void;
    auto update_era(store_era era, store_revision revision) -> bool;
    auto retry_later() -> void;
    auto read_root() -> void;
    auto on_root(const store_range_result& result) -> void;
    auto load() -> void;
    auto on_loaded(const loaded_configuration& loaded) -> void;
    auto open_watch() -> void;
    auto on_batch(const store_watch_batch& batch) -> void;
    auto apply(const std::vector<configuration_change>& changes) -> void;
    auto poll() -> void;
    auto on_polled(const store_range_result& result) -> void;
    auto check_watch_lag() -> void;
    auto on_configuration(std::shared_ptr<const configuration> value) -> void;
    auto update_store_answers(bool answered) -> void;
    auto emit(event&& what) const -> void;

    // Wraps a callback so that it runs only within the epoch in which it was
    // created. A store error ends the epoch.
    template <typename Result, typename Handler>
    auto wrap_callback(Handler handler) -> store_callback<Result>;

    store& store_;
    store_layout layout_;
    store_watcher_settings settings_;
    store_watcher_hooks hooks_;
    random_source random_;
    phase phase_ = phase::off;
    // Incremented to invalidate the pending callbacks.
    std::shared_ptr<std::uint64_t> epoch_;
    millis now_;
    millis retry_at_;
    millis retry_delay_;
    millis next_poll_;
    bool store_answers_ = true;
    watch_id watch_ = 0;
    // The configuration at position_, as read and updated from the watch.
    std::shared_ptr<const configuration> base_;
    store_position position_;
    // The era of the last answer; nothing until the first.
    std::optional<store_era> era_;
    // Set by a restore: the stored configuration may differ from the held one
    // even where their versions are the same.
    bool must_load_ = false;
    // The newest root revision seen by polling and the time it was seen; 0
    // after a stop.
    store_revision polled_revision_ = 0;
    millis polled_at_;
    // The revision for which the watch was last reopened.
    store_revision reopened_for_revision_ = 0;
    std::uint64_t silent_watches_ = 0;
};

} // namespace briardrum

#endif
