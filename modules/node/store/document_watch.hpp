#ifndef BRIARDRUM_NODE_STORE_DOCUMENT_WATCH_HPP
#define BRIARDRUM_NODE_STORE_DOCUMENT_WATCH_HPP

#include "node/store/store.hpp"

#include <memory>
#include <optional>

namespace briardrum
{

struct document_watch_settings
{
    std::string key;
    // If not empty, all keys with this prefix, which key has as well, are read
    // and watched in the same calls.
    std::string prefix = {};
    // Delay between a failed call and the next, with exponential backoff. Short
    // compared with the time in which a change must take effect, and long
    // enough that the store copes when all processes retry at once.
    millis retry_interval = milliseconds(300);
    millis retry_interval_max = seconds(2);
};

struct document_watch_hooks
{
    // Called with each new value. After a restore of the store the value may
    // be one that was delivered before, or older.
    std::function<void(const std::string& value, store_revision)> on_value;
    event_sink events;
    // Called when the store has come back from an older copy of its data: what
    // this process wrote may be gone. May be empty.
    std::function<void()> on_restored = nullptr;
    // Called with each complete read, and with each batch of events that
    // continues it, after on_value. May be empty.
    std::function<void(const store_range_result&)> on_read = nullptr;
    std::function<void(const store_watch_batch&)> on_events = nullptr;
};

// Follows one key of the store, and on request its neighbours with a common
// prefix: reads it, watches it from that revision, and reads it again whenever
// the watch ends or the store was restored from an older copy. The last value
// stays valid while the store is unreachable.
//
// Call tick() about every 100 ms. Call refresh() to read immediately, for
// example when another process is known to have a newer value.
class document_watch
{
public:
    document_watch(store& source, document_watch_settings settings,
                   document_watch_hooks hooks, std::uint64_t seed);
    ~document_watch();
    document_watch(const document_watch&) = delete;
    auto operator=(const document_watch&) -> document_watch& = delete;

    auto tick(millis now) -> void;
    auto refresh(millis now) -> void;

    // True when the last call was answered.
    auto is_connected() const -> bool;
    // The position of the value delivered last.
    auto position() const -> const store_position&;
    // The era of the last answer.
    auto era() const -> store_era;
    // Number of times that the era has changed.
    auto restorations() const -> std::uint64_t;
    // Number of values that were read and not delivered, other than the one
    // delivered last.
    auto ignored_values() const -> std::uint64_t;

private:
    enum class connection_state : std::uint8_t
    {
        waiting,
        reading,
        watching,
    };

    auto read() -> void;
    // The key or prefix that is read and watched.
    auto watched_key() const -> const std::string&;
    auto watched_end() const -> std::string;
    auto on_range(const absl::StatusOr<store_range_result>& result) -> void;
    auto watch() -> void;
    auto on_batch(const absl::StatusOr<store_watch_batch>& batch) -> void;
    auto deliver_if_newer(const std::string& value, store_revision mod_revision)
        -> void;
    auto report_ignored(store_revision mod_revision) -> void;
    auto update_era(store_era era, store_revision revision) -> void;
    auto read_again() -> void;
    auto mark_connected(store_revision revision) -> void;
    auto report_loss(const absl::Status& error) -> void;
    auto schedule_retry(const absl::Status& error) -> void;

    store& store_;
    document_watch_settings settings_;
    document_watch_hooks hooks_;
    random_source random_;
    connection_state state_ = connection_state::waiting;
    millis now_;
    millis next_read_;
    millis backoff_;
    store_position position_;
    store_revision watch_start_revision_ = 0;
    // When a watch ends or loses its history the key is read at once, but not
    // before this time.
    millis next_immediate_read_;
    // Nothing until the first answer.
    std::optional<store_era> era_;
    std::uint64_t restorations_ = 0;
    std::uint64_t ignored_values_ = 0;
    watch_id watch_ = 0;
    bool connected_ = false;
    bool loss_reported_ = false;
    // False once this object is destroyed; checked by pending callbacks.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace briardrum

#endif
