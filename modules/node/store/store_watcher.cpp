#include "node/store/store_watcher.hpp"

#include <algorithm>
#include <utility>

namespace briardrum
{

store_watcher::store_watcher(store& source, store_layout layout,
                             store_watcher_settings settings,
                             store_watcher_hooks hooks, std::uint64_t seed)
    : store_(source), layout_(std::move(layout)), settings_(settings),
      hooks_(std::move(hooks)), random_(seed),
      epoch_(std::make_shared<std::uint64_t>(0)),
      retry_delay_(settings.retry_min)
{
}

store_watcher::~store_watcher()
{
    stop();
}

template <typename Result, typename Handler>
auto store_watcher::wrap_callback(Handler handler) -> store_callback<Result>
{
    const std::weak_ptr<std::uint64_t> weak_epoch = epoch_;
    return [this, weak_epoch, epoch = *epoch_,
            handler](const absl::StatusOr<Result>& result)
    {
        const auto current = weak_epoch.lock();
        if (current == nullptr || *current != epoch)
        {
            return;
        }
        update_store_answers(result.ok());
        if (!result.ok())
        {
            retry_later();
            return;
        }
        handler(*result);
    };
}

auto store_watcher::tick(millis now, bool is_watcher) -> void
{
    now_ = now;
    if (!is_watcher)
    {
        stop();
        discard_base();
        return;
    }
    if (phase_ == phase::off || (phase_ == phase::waiting && now >= retry_at_))
    {
        start(now);
    }
    if (phase_ == phase::watching)
    {
        check_watch_lag();
    }
    if (phase_ == phase::watching && now >= next_poll_)
    {
        poll();
    }
}

auto store_watcher::store_answers() const -> bool
{
    return store_answers_;
}

auto store_watcher::silent_watches() const -> std::uint64_t
{
    return silent_watches_;
}

auto store_watcher::start(millis now) -> void
{
    phase_ = phase::reading;
    next_poll_ = now + settings_.poll_interval;
    read_root();
}

auto store_watcher::stop() -> void
{
    ++*epoch_;
    if (watch_ != 0)
    {
        store_.cancel_watch(watch_);
        watch_ = 0;
    }
    phase_ = phase::off;
    polled_revision_ = 0;
}

// Discards the known state, so that the next start reads the store
// from scratch.
auto store_watcher::discard_base() -> void
{
    base_ = nullptr;
    position_ = {};
}

// Records the era of an answer. Returns false, after discarding what was known,
// when the store was restored since the answer before it.
auto store_watcher::update_era(store_era era, store_revision revision) -> bool
{
    const auto before = std::exchange(era_, era);
    if (!before.has_value() || *before == era)
    {
        return true;
    }
    emit(event("store_restored", event_level::warning)
             .with("era", era)
             .with("was", *before)
             .with("revision", static_cast<std::uint64_t>(revision))
             .with("held_revision",
                   static_cast<std::uint64_t>(position_.revision)));
    discard_base();
    polled_revision_ = 0;
    reopened_for_revision_ = 0;
    must_load_ = true;
    return false;
}

// Restarts after a delay that doubles up to retry_max.
auto store_watcher::retry_later() -> void
{
    stop();
    phase_ = phase::waiting;
    const auto jitter =
        random_.below(static_cast<std::uint64_t>(retry_delay_.count / 4 + 1));
    retry_at_ =
        now_ + retry_delay_ - milliseconds(static_cast<std::int64_t>(jitter));
    retry_delay_ = std::min(retry_delay_ * 2, settings_.retry_max);
}

auto store_watcher::read_root() -> void
{
    store_.range({layout_.key_of(root_key), "", 0, 0},
                 wrap_callback<store_range_result>(
                     [this](const store_range_result& result)
                     {
                         on_root(result);
                     }));
}

auto store_watcher::on_root(const store_range_result& result) -> void
{
    retry_delay_ = settings_.retry_min;
    update_era(result.era, result.revision);
    if (base_ != nullptr && result.revision >= position_.revision)
    {
        // The new watch delivers the missed changes.
        open_watch();
        return;
    }
    const auto current_configuration = hooks_.current_configuration();
    const auto stored_version =
        result.values.empty() ? 0 : parse_root_version(result.values[0].value);
    if (current_configuration != nullptr &&
        stored_version < current_configuration->version)
    {
        emit(event("store_behind", event_level::warning)
                 .with("stored", stored_version)
                 .with("held", current_configuration->version));
    }
    if (stored_version != 0 &&
        (must_load_ || current_configuration == nullptr ||
         current_configuration->version != stored_version))
    {
        load();
        return;
    }
    base_ = stored_version == 0 ? nullptr : current_configuration;
    position_ = {result.era, result.revision};
    open_watch();
}

auto store_watcher::load() -> void
{
    load_configuration(store_, layout_,
                       wrap_callback<loaded_configuration>(
                           [this](const loaded_configuration& loaded)
                           {
                               on_loaded(loaded);
                           }));
}

auto store_watcher::on_loaded(const loaded_configuration& loaded) -> void
{
    update_era(loaded.position.era, loaded.position.revision);
    must_load_ = false;
    base_ = loaded.value;
    position_ = loaded.position;
    open_watch();
    if (base_ != nullptr)
    {
        on_configuration(base_);
    }
}

auto store_watcher::open_watch() -> void
{
    phase_ = phase::watching;
    const auto prefix = layout_.configuration_prefix();
    watch_ = store_.watch({prefix, prefix_end(prefix), position_.revision + 1},
                          wrap_callback<store_watch_batch>(
                              [this](const store_watch_batch& batch)
                              {
                                  on_batch(batch);
                              }));
}

auto store_watcher::on_batch(const store_watch_batch& batch) -> void
{
    if (!update_era(batch.era, batch.revision) || batch.compacted)
    {
        discard_base();
        retry_later();
        return;
    }
    const auto prefix = layout_.configuration_prefix();
    std::vector<configuration_change> changes;
    auto last_revision = position_.revision;
    for (const auto& item : batch.events)
    {
        // The store may repeat events.
        if (item.mod_revision <= position_.revision)
        {
            continue;
        }
        changes.push_back(
            {item.key.substr(prefix.size()), item.value, item.removed});
        last_revision = std::max(last_revision, item.mod_revision);
    }
    position_.revision = last_revision;
    if (!changes.empty())
    {
        apply(changes);
    }
}

auto store_watcher::apply(const std::vector<configuration_change>& changes)
    -> void
{
    auto next =
        apply_changes(base_ == nullptr ? configuration{} : *base_, changes);
    if (!next.ok())
    {
        // The events do not apply to the known state: read everything again.
        emit(event("store_changes_unfit", event_level::error)
                 .with("reason", std::string(next.status().message())));
        discard_base();
        retry_later();
        return;
    }
    base_ = std::make_shared<const configuration>(*std::move(next));
    on_configuration(base_);
}

auto store_watcher::poll() -> void
{
    next_poll_ = now_ + settings_.poll_interval;
    store_.range({layout_.key_of(root_key), "", 0, 0},
                 wrap_callback<store_range_result>(
                     [this](const store_range_result& result)
                     {
                         on_polled(result);
                     }));
}

auto store_watcher::on_polled(const store_range_result& result) -> void
{
    if (!update_era(result.era, result.revision))
    {
        retry_later();
        return;
    }
    if (result.values.empty() ||
        result.values[0].mod_revision <= position_.revision)
    {
        return;
    }
    polled_revision_ = result.values[0].mod_revision;
    polled_at_ = now_;
}

// Reopens the watch when it has not delivered a root revision that polling has
// seen, and reads the whole configuration when the new watch does not deliver
// it either.
auto store_watcher::check_watch_lag() -> void
{
    if (polled_revision_ <= position_.revision ||
        now_ < polled_at_ + settings_.watch_lag_max)
    {
        return;
    }
    ++silent_watches_;
    emit(event("store_watch_silent", event_level::warning)
             .with("told", static_cast<std::uint64_t>(position_.revision))
             .with("shown", static_cast<std::uint64_t>(polled_revision_)));
    const auto polled_revision = polled_revision_;
    stop();
    if (reopened_for_revision_ == polled_revision)
    {
        discard_base();
        start(now_);
        return;
    }
    reopened_for_revision_ = polled_revision;
    polled_revision_ = polled_revision;
    polled_at_ = now_;
    open_watch();
}

auto store_watcher::on_configuration(std::shared_ptr<const configuration> value)
    -> void
{
    hooks_.on_configuration(now_, std::move(value));
}

auto store_watcher::update_store_answers(bool answered) -> void
{
    if (answered == store_answers_)
    {
        return;
    }
    store_answers_ = answered;
    emit(answered ? event("store_answers")
                  : event("store_silent", event_level::warning));
}

auto store_watcher::emit(event&& what) const -> void
{
    if (hooks_.events)
    {
        hooks_.events(what);
    }
}

} // namespace briardrum
