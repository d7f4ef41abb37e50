#include "stand_ins/store/virtual_store.hpp"

#include <utility>

namespace briardrum::stand_in
{

virtual_store::virtual_store(memory_store& data) : data_(data) {}

auto virtual_store::later(millis after, std::function<void()> task) -> void
{
    tasks_.emplace(now_ + after, std::move(task));
}

auto virtual_store::run(millis now) -> void
{
    now_ = now;
    data_.expire(now);
    tell_events();
    while (!tasks_.empty() && tasks_.begin()->first <= now)
    {
        const auto task = std::move(tasks_.begin()->second);
        tasks_.erase(tasks_.begin());
        task();
    }
}

template <typename Result>
auto virtual_store::call(const std::function<Result()>& carry_out,
                         store_callback<Result> done) -> void
{
    ++calls;
    if (down)
    {
        later(milliseconds(1),
              [done]
              {
                  done(make_error(error_kind::unavailable, "store is down"));
              });
        return;
    }
    if (delay >= timeout)
    {
        // It gets there, but nobody waits for the answer any more.
        later(delay,
              [carry_out]
              {
                  carry_out();
              });
        later(timeout,
              [done]
              {
                  done(make_error(error_kind::unknown_outcome, "timeout"));
              });
        return;
    }
    later(delay,
          [carry_out, done]
          {
              done(carry_out());
          });
}

auto virtual_store::range(const store_range& request,
                          store_callback<store_range_result> done) -> void
{
    ++ranges;
    call<store_range_result>(
        [this, request]
        {
            return data_.range(request);
        },
        std::move(done));
}

auto virtual_store::commit(const store_transaction& request,
                           store_callback<store_commit_result> done) -> void
{
    if (!down && (lose_answers > 0 || lose_commits > 0))
    {
        ++calls;
        if (lose_answers > 0)
        {
            --lose_answers;
            data_.commit(request);
        }
        else
        {
            --lose_commits;
        }
        later(timeout,
              [done = std::move(done)]
              {
                  done(make_error(error_kind::unknown_outcome, "timeout"));
              });
        return;
    }
    call<store_commit_result>(
        [this, request]
        {
            return data_.commit(request);
        },
        std::move(done));
}

auto virtual_store::grant_lease(millis span, store_callback<store_lease> done)
    -> void
{
    call<store_lease>(
        [this, span]
        {
            return data_.grant_lease(now_, span);
        },
        std::move(done));
}

auto virtual_store::keep_alive(lease_id id, store_callback<store_lease> done)
    -> void
{
    call<store_lease>(
        [this, id]
        {
            return data_.keep_alive(now_, id);
        },
        std::move(done));
}

auto virtual_store::watch(const store_watch& request,
                          store_callback<store_watch_batch> next) -> watch_id
{
    ++calls;
    const auto id = ++last_watch_;
    if (down)
    {
        later(milliseconds(1),
              [next = std::move(next)]
              {
                  next(make_error(error_kind::unavailable, "store is down"));
              });
        return id;
    }
    watches_[id] = {request, std::move(next), now_};
    return id;
}

auto virtual_store::cancel_watch(watch_id id) -> void
{
    watches_.erase(id);
}

auto virtual_store::end_watches() -> void
{
    for (const auto& [id, item] : std::exchange(watches_, {}))
    {
        later(millis{},
              [next = item.next]
              {
                  next(make_error(error_kind::unavailable, "no answer"));
              });
    }
}

auto virtual_store::collect_events(const open_watch& item) const
    -> store_watch_batch
{
    store_watch_batch out;
    out.revision = data_.revision();
    out.era = data_.era();
    const auto is_beyond = poll_interval > millis{} &&
                           item.request.start_revision > out.revision + 1;
    const auto events = data_.events_since(item.request);
    out.compacted = is_beyond || !events.has_value();
    if (!out.compacted)
    {
        out.events = *events;
    }
    return out;
}

auto virtual_store::tell_events() -> void
{
    for (auto& [id, item] : watches_)
    {
        const auto batch = collect_events(item);
        if (silent_watches)
        {
            item.request.start_revision = batch.revision + 1;
            continue;
        }
        const auto is_poll_over = poll_interval > millis{} &&
                                  now_ >= item.answered_at + poll_interval;
        if (batch.events.empty() && !batch.compacted && !is_poll_over)
        {
            continue;
        }
        item.answered_at = now_;
        item.request.start_revision = batch.revision + 1;
        for (int n = 0; n < (repeat_events ? 2 : 1); ++n)
        {
            later(event_delay,
                  [this, watch = id, batch]
                  {
                      const auto it = watches_.find(watch);
                      if (it != watches_.end())
                      {
                          const auto next = it->second.next;
                          next(batch);
                      }
                  });
        }
    }
    if (down)
    {
        for (const auto& [id, item] : std::exchange(watches_, {}))
        {
            later(milliseconds(1),
                  [next = item.next]
                  {
                      next(make_error(error_kind::unavailable, "store went"));
                  });
        }
    }
}

} // namespace briardrum::stand_in
