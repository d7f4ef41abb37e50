#include "node/store/document_watch.hpp"

#include <algorithm>
#include <utility>

namespace briardrum
{

document_watch::document_watch(store& source, document_watch_settings settings,
                               document_watch_hooks hooks, std::uint64_t seed)
    : store_(source), settings_(std::move(settings)), hooks_(std::move(hooks)),
      random_(seed), backoff_(settings_.retry_interval)
{
}

document_watch::~document_watch()
{
    *alive_ = false;
    if (state_ == connection_state::watching)
    {
        store_.cancel_watch(watch_);
    }
}

auto document_watch::tick(millis now) -> void
{
    now_ = now;
    if (state_ == connection_state::waiting && now >= next_read_)
    {
        read();
    }
}

auto document_watch::refresh(millis now) -> void
{
    now_ = now;
    if (state_ == connection_state::reading)
    {
        return;
    }
    if (state_ == connection_state::watching)
    {
        store_.cancel_watch(watch_);
    }
    read();
}

auto document_watch::read() -> void
{
    state_ = connection_state::reading;
    next_immediate_read_ = now_ + settings_.retry_interval;
    store_range request;
    request.key = watched_key();
    request.range_end = watched_end();
    store_.range(
        request,
        [this, alive = alive_](const absl::StatusOr<store_range_result>& result)
        {
            if (*alive)
            {
                on_range(result);
            }
        });
}

auto document_watch::watched_key() const -> const std::string&
{
    return settings_.prefix.empty() ? settings_.key : settings_.prefix;
}

auto document_watch::watched_end() const -> std::string
{
    return settings_.prefix.empty() ? std::string()
                                    : prefix_end(settings_.prefix);
}

auto document_watch::on_range(const absl::StatusOr<store_range_result>& result)
    -> void
{
    if (!result.ok())
    {
        schedule_retry(result.status());
        return;
    }
    update_era(result->era, result->revision);
    mark_connected(result->revision);
    for (const auto& it : result->values)
    {
        if (settings_.prefix.empty() || it.key == settings_.key)
        {
            deliver_if_newer(it.value, it.mod_revision);
        }
    }
    if (hooks_.on_read)
    {
        hooks_.on_read(*result);
    }
    watch_start_revision_ = result->revision + 1;
    watch();
}

auto document_watch::watch() -> void
{
    state_ = connection_state::watching;
    store_watch request;
    request.key = watched_key();
    request.range_end = watched_end();
    request.start_revision = watch_start_revision_;
    watch_ = store_.watch(
        request,
        [this, alive = alive_](const absl::StatusOr<store_watch_batch>& batch)
        {
            if (*alive)
            {
                on_batch(batch);
            }
        });
}

auto document_watch::on_batch(const absl::StatusOr<store_watch_batch>& batch)
    -> void
{
    if (!batch.ok())
    {
        // A change may have been missed since the watch went silent.
        report_loss(batch.status());
        read_again();
        return;
    }
    const auto is_other_history = batch->era != era();
    update_era(batch->era, batch->revision);
    mark_connected(batch->revision);
    if (is_other_history)
    {
        // Events before the watched revision may be missing.
        read_again();
        return;
    }
    if (batch->compacted)
    {
        if (hooks_.events)
        {
            hooks_.events(event("store_history_lost", event_level::warning)
                              .with("key", settings_.key)
                              .with("watched_from", static_cast<std::uint64_t>(
                                                        watch_start_revision_))
                              .with("era", era()));
        }
        read_again();
        return;
    }
    for (const auto& it : batch->events)
    {
        if (!it.removed && it.key == settings_.key)
        {
            deliver_if_newer(it.value, it.mod_revision);
        }
    }
    if (hooks_.on_events)
    {
        hooks_.on_events(*batch);
    }
}

auto document_watch::read_again() -> void
{
    store_.cancel_watch(watch_);
    if (now_ < next_immediate_read_)
    {
        state_ = connection_state::waiting;
        next_read_ = next_immediate_read_;
        return;
    }
    read();
}

auto document_watch::deliver_if_newer(const std::string& value,
                                      store_revision mod_revision) -> void
{
    const store_position found{era(), mod_revision};
    if (!found.may_be_newer_than(position_))
    {
        report_ignored(mod_revision);
        return;
    }
    position_ = found;
    hooks_.on_value(value, mod_revision);
}

// The value delivered last is read again after each loss of the store; only
// others are told.
auto document_watch::report_ignored(store_revision mod_revision) -> void
{
    if (mod_revision == position_.revision)
    {
        return;
    }
    ++ignored_values_;
    if (hooks_.events)
    {
        hooks_.events(
            event("store_value_ignored", event_level::warning)
                .with("key", settings_.key)
                .with("revision", static_cast<std::uint64_t>(mod_revision))
                .with("held_revision",
                      static_cast<std::uint64_t>(position_.revision))
                .with("era", era()));
    }
}

auto document_watch::update_era(store_era era, store_revision revision) -> void
{
    const auto before = std::exchange(era_, era);
    if (!before.has_value() || *before == era)
    {
        return;
    }
    ++restorations_;
    if (hooks_.events)
    {
        hooks_.events(
            event("store_restored", event_level::warning)
                .with("key", settings_.key)
                .with("era", era)
                .with("was", *before)
                .with("revision", static_cast<std::uint64_t>(revision))
                .with("held_revision",
                      static_cast<std::uint64_t>(position_.revision)));
    }
    if (hooks_.on_restored)
    {
        hooks_.on_restored();
    }
}

auto document_watch::mark_connected(store_revision revision) -> void
{
    backoff_ = settings_.retry_interval;
    if (!connected_ && hooks_.events)
    {
        hooks_.events(
            event("store_reached")
                .with("key", settings_.key)
                .with("revision", static_cast<std::uint64_t>(revision))
                .with("era", era()));
    }
    connected_ = true;
    loss_reported_ = false;
}

auto document_watch::report_loss(const absl::Status& error) -> void
{
    if (!std::exchange(loss_reported_, true) && hooks_.events)
    {
        hooks_.events(event("store_lost", event_level::warning)
                          .with("key", settings_.key)
                          .with("why", std::string(error.message())));
    }
    connected_ = false;
}

auto document_watch::schedule_retry(const absl::Status& error) -> void
{
    report_loss(error);
    state_ = connection_state::waiting;
    const auto half_delay = backoff_ / 2;
    const auto jitter = static_cast<std::int64_t>(
        random_.below(static_cast<std::uint64_t>(half_delay.count) + 1));
    next_read_ = now_ + half_delay + milliseconds(jitter);
    backoff_ = std::min(backoff_ * 2, settings_.retry_interval_max);
}

auto document_watch::is_connected() const -> bool
{
    return connected_;
}

auto document_watch::position() const -> const store_position&
{
    return position_;
}

auto document_watch::era() const -> store_era
{
    return era_.value_or(0);
}

auto document_watch::restorations() const -> std::uint64_t
{
    return restorations_;
}

auto document_watch::ignored_values() const -> std::uint64_t
{
    return ignored_values_;
}

} // namespace briardrum
