#include "node/store/store_watcher.hpp"

#include <algorithm>
#include <utility>

namespace briardrum
{

store_watcher::store_watcher(store& source, store_layout layout,
                             store_watcher_settings settings,
                             store_watcher_hooks hooks, std::uint64_t seed)
    : source_(source), layout_(std::move(layout)), settings_(settings),
      hooks_(std::move(hooks)), random_(seed),
      round_(std::make_shared<std::uint64_t>(0)),
      retry_delay_(settings.retry_min)
{
}

store_watcher::~store_watcher()
{
    stop();
}

template <typename Result, typename Handler>
auto store_watcher::guarded(Handler handler) -> store_callback<Result>
{
    const std::weak_ptr<std::uint64_t> rounds = round_;
    return [this, rounds, round = *round_,
            handler](const absl::StatusOr<Result>& result)
    {
        const auto current = rounds.lock();
        if (current == nullptr || *current != round)
        {
            return;
        }
        note_answer(result.ok());
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
        forget();
        return;
    }
    if (phase_ == phase::off || (phase_ == phase::waiting && now >= retry_at_))
    {
        start(now);
    }
    if (phase_ == phase::watching)
    {
        check_lag();
    }
    if (phase_ == phase::watching && now >= next_poll_)
    {
        poll();
    }
}

auto store_watcher::store_answers() const -> bool
{
    return answers_;
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
    ++*round_;
    if (watch_ != 0)
    {
        source_.cancel_watch(watch_);
        watch_ = 0;
    }
    phase_ = phase::off;
    shown_revision_ = 0;
}

// Makes the next round read from the start.
auto store_watcher::forget() -> void
{
    base_ = nullptr;
    revision_ = 0;
}

// Begins again after a delay that doubles up to its bound.
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
    source_.range({layout_.key_of(root_key), "", 0, 0},
                  guarded<store_range_result>(
                      [this](const store_range_result& result)
                      {
                          on_root(result);
                      }));
}

auto store_watcher::on_root(const store_range_result& result) -> void
{
    retry_delay_ = settings_.retry_min;
    if (base_ != nullptr && result.revision >= revision_)
    {
        // What was missed meanwhile comes as changes.
        open_watch();
        return;
    }
    const auto held = hooks_.held();
    const auto stored =
        result.values.empty() ? 0 : parse_root_version(result.values[0].value);
    if (held != nullptr && stored < held->version)
    {
        report(event("store_behind", event_level::warning)
                   .with("stored", stored)
                   .with("held", held->version));
    }
    if (stored != 0 && (held == nullptr || held->version != stored))
    {
        load();
        return;
    }
    base_ = stored == 0 ? nullptr : held;
    revision_ = result.revision;
    open_watch();
}

auto store_watcher::load() -> void
{
    load_configuration(source_, layout_,
                       guarded<loaded_configuration>(
                           [this](const loaded_configuration& loaded)
                           {
                               on_loaded(loaded);
                           }));
}

auto store_watcher::on_loaded(const loaded_configuration& loaded) -> void
{
    base_ = loaded.value;
    revision_ = loaded.revision;
    open_watch();
    if (base_ != nullptr)
    {
        found(base_);
    }
}

auto store_watcher::open_watch() -> void
{
    phase_ = phase::watching;
    const auto prefix = layout_.configuration_prefix();
    watch_ = source_.watch({prefix, prefix_end(prefix), revision_ + 1},
                           guarded<store_watch_batch>(
                               [this](const store_watch_batch& batch)
                               {
                                   on_batch(batch);
                               }));
}

auto store_watcher::on_batch(const store_watch_batch& batch) -> void
{
    if (batch.compacted)
    {
        forget();
        retry_later();
        return;
    }
    const auto prefix = layout_.configuration_prefix();
    std::vector<configuration_change> changes;
    auto last = revision_;
    for (const auto& item : batch.events)
    {
        // Events that came before, once more.
        if (item.mod_revision <= revision_)
        {
            continue;
        }
        changes.push_back(
            {item.key.substr(prefix.size()), item.value, item.removed});
        last = std::max(last, item.mod_revision);
    }
    revision_ = last;
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
        // What the watch told does not fit what was read: read it all again.
        report(event("store_changes_unfit", event_level::error)
                   .with("reason", std::string(next.status().message())));
        forget();
        retry_later();
        return;
    }
    base_ = std::make_shared<const configuration>(*std::move(next));
    found(base_);
}

auto store_watcher::poll() -> void
{
    next_poll_ = now_ + settings_.poll_interval;
    source_.range({layout_.key_of(root_key), "", 0, 0},
                  guarded<store_range_result>(
                      [this](const store_range_result& result)
                      {
                          if (result.values.empty() ||
                              result.values[0].mod_revision <= revision_)
                          {
                              return;
                          }
                          shown_revision_ = result.values[0].mod_revision;
                          shown_at_ = now_;
                      }));
}

// Opens the watch again when it has not told what the root value has shown,
// and reads the whole when the new one does not tell it either.
auto store_watcher::check_lag() -> void
{
    if (shown_revision_ <= revision_ ||
        now_ < shown_at_ + settings_.watch_lag_max)
    {
        return;
    }
    ++silent_watches_;
    report(event("store_watch_silent", event_level::warning)
               .with("told", static_cast<std::uint64_t>(revision_))
               .with("shown", static_cast<std::uint64_t>(shown_revision_)));
    const auto shown = shown_revision_;
    stop();
    if (reopened_for_ == shown)
    {
        forget();
        start(now_);
        return;
    }
    reopened_for_ = shown;
    shown_revision_ = shown;
    shown_at_ = now_;
    open_watch();
}

auto store_watcher::found(std::shared_ptr<const configuration> value) -> void
{
    hooks_.found(now_, std::move(value));
}

auto store_watcher::note_answer(bool answered) -> void
{
    if (answered == answers_)
    {
        return;
    }
    answers_ = answered;
    report(answered ? event("store_answers")
                    : event("store_silent", event_level::warning));
}

auto store_watcher::report(event&& what) const -> void
{
    if (hooks_.events)
    {
        hooks_.events(what);
    }
}

} // namespace briardrum
