#ifndef BRIARDRUM_NODE_STORE_STORE_WATCHER_HPP
#define BRIARDRUM_NODE_STORE_STORE_WATCHER_HPP

#include "config/config.hpp"
#include "core/core.hpp"
#include "node/store/configuration_load.hpp"
#include "node/store/store_layout.hpp"

#include <functional>
#include <memory>

namespace briardrum
{

struct store_watcher_settings
{
    // Between two looks at the root value, beside the watch.
    millis poll_interval = seconds(3);
    // How long the watch may lag behind what such a look has shown.
    millis watch_lag_max = milliseconds(500);
    // Between two attempts while the store does not answer.
    millis retry_min = milliseconds(200);
    millis retry_max = seconds(3);
};

struct store_watcher_hooks
{
    // The newest configuration that this process holds, or nullptr.
    std::function<std::shared_ptr<const configuration>()> current_configuration;
    // What the store holds; may be called again with the same or an older
    // version.
    std::function<void(millis, std::shared_ptr<const configuration>)>
        on_configuration;
    event_sink events;
};

// Follows the configuration in the store while its process is a watcher.
//
// It reads the root value, reads the whole only when that names another
// version than the process holds, and then watches from there. A watch that
// ends, or that is silent although the root value has changed, is opened
// again where it stopped, so that missed changes come as changes; when the
// new one is silent too, the whole is read. During an outage it asks again at
// bounded intervals, and nothing else happens.
class store_watcher
{
public:
    store_watcher(store& source, store_layout layout,
                  store_watcher_settings settings, store_watcher_hooks hooks,
                  std::uint64_t seed);
    ~store_watcher();
    store_watcher(const store_watcher&) = delete;
    auto operator=(const store_watcher&) -> store_watcher& = delete;

    // Follows while is_watcher is true; every 100 ms or so.
    auto tick(millis now, bool is_watcher) -> void;

    // True while the last call to the store was answered.
    auto store_answers() const -> bool;

    // Watches that were opened again because they had gone silent.
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
    auto retry_later() -> void;
    auto read_root() -> void;
    auto on_root(const store_range_result& result) -> void;
    auto load() -> void;
    auto on_loaded(const loaded_configuration& loaded) -> void;
    auto open_watch() -> void;
    auto on_batch(const store_watch_batch& batch) -> void;
    auto apply(const std::vector<configuration_change>& changes) -> void;
    auto poll() -> void;
    auto check_watch_lag() -> void;
    auto on_configuration(std::shared_ptr<const configuration> value) -> void;
    auto update_store_answers(bool answered) -> void;
    auto emit(event&& what) const -> void;

    // Wraps a callback so that it is run only while the watcher is in the
    // same round; store errors end the round.
    template <typename Result, typename Handler>
    auto wrap_callback(Handler handler) -> store_callback<Result>;

    store& store_;
    store_layout layout_;
    store_watcher_settings settings_;
    store_watcher_hooks hooks_;
    random_source random_;
    phase phase_ = phase::off;
    // Raised to make the callbacks of earlier rounds harmless.
    std::shared_ptr<std::uint64_t> epoch_;
    millis now_;
    millis retry_at_;
    millis retry_delay_;
    millis next_poll_;
    bool store_answers_ = true;
    watch_id watch_ = 0;
    // What the store held at revision_, as far as the watch has told.
    std::shared_ptr<const configuration> base_;
    store_revision revision_ = 0;
    // What a look at the root value has shown, and since when.
    store_revision polled_revision_ = 0;
    millis polled_at_;
    // The watch was opened again because it had not told this one.
    store_revision reopened_for_revision_ = 0;
    std::uint64_t silent_watches_ = 0;
};

} // namespace briardrum

#endif
