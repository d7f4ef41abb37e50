#include "node/store/document_watch.hpp"

#include <algorithm>
#include <utility>

namespace briardrum
{

document_watch::document_watch(store& from, document_watch_settings settings,
                               document_watch_hooks hooks, std::uint64_t seed)
    : store_(from), settings_(std::move(settings)), hooks_(std::move(hooks)),
      random_(seed), backoff_(settings_.retry_interval)
{
}

document_watch::~document_watch()
{
    *alive_ = false;
    if (stage_ == stage::watching)
    {
        store_.cancel_watch(watch_);
    }
}

auto document_watch::tick(millis now) -> void
{
    now_ = now;
    if (stage_ == stage::waiting && now >= next_read_)
    {
        read();
    }
}

auto document_watch::refresh(millis now) -> void
{
    now_ = now;
    if (stage_ == stage::reading)
    {
        return;
    }
    if (stage_ == stage::watching)
    {
        store_.cancel_watch(watch_);
    }
    read();
}

auto document_watch::read() -> void
{
    stage_ = stage::reading;
    store_range request;
    request.key = settings_.key;
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

auto document_watch::on_range(const absl::StatusOr<store_range_result>& result)
    -> void
{
    if (!result.ok())
    {
        retry(result.status());
        return;
    }
    note_connected();
    for (const auto& it : result->values)
    {
        take(it.value, it.mod_revision);
    }
    watched_from_ = result->revision + 1;
    watch();
}

auto document_watch::watch() -> void
{
    stage_ = stage::watching;
    store_watch request;
    request.key = settings_.key;
    request.start_revision = watched_from_;
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
        retry(batch.status());
        return;
    }
    note_connected();
    if (batch->compacted)
    {
        if (hooks_.events)
        {
            hooks_.events(event("store_history_lost", event_level::warning)
                              .with("key", settings_.key));
        }
        store_.cancel_watch(watch_);
        read();
        return;
    }
    for (const auto& it : batch->events)
    {
        if (!it.removed && it.key == settings_.key)
        {
            take(it.value, it.mod_revision);
        }
    }
}

auto document_watch::take(const std::string& value, store_revision at) -> void
{
    if (at <= revision_)
    {
        return;
    }
    revision_ = at;
    hooks_.on_value(value, at);
}

auto document_watch::note_connected() -> void
{
    backoff_ = settings_.retry_interval;
    if (!connected_ && hooks_.events)
    {
        hooks_.events(event("store_reached").with("key", settings_.key));
    }
    connected_ = true;
    told_lost_ = false;
}

auto document_watch::retry(const absl::Status& why) -> void
{
    if (!std::exchange(told_lost_, true) && hooks_.events)
    {
        hooks_.events(event("store_lost", event_level::warning)
                          .with("key", settings_.key)
                          .with("why", std::string(why.message())));
    }
    connected_ = false;
    stage_ = stage::waiting;
    const auto half = backoff_ / 2;
    const auto spread = static_cast<std::int64_t>(
        random_.below(static_cast<std::uint64_t>(half.count) + 1));
    next_read_ = now_ + half + milliseconds(spread);
    backoff_ = std::min(backoff_ * 2, settings_.retry_interval_max);
}

auto document_watch::is_connected() const -> bool
{
    return connected_;
}

auto document_watch::revision() const -> store_revision
{
    return revision_;
}

} // namespace briardrum
