#include "node/store/lease_holder.hpp"

#include <utility>

namespace briardrum
{

namespace
{

// Attempts to keep the lease alive within its span.
constexpr std::int64_t renewals_per_span = 3;

} // namespace

lease_holder::lease_holder(store& target, std::string key, std::string name,
                           lease_holder_settings settings)
    : target_(target), key_(std::move(key)), name_(std::move(name)),
      settings_(std::move(settings))
{
}

lease_holder::~lease_holder()
{
    *alive_ = false;
}

auto lease_holder::tick(millis now) -> void
{
    now_ = now;
    if (created_ != 0 && now >= held_until_)
    {
        lose("lapsed");
    }
    if (now < next_)
    {
        return;
    }
    next_ = now + settings_.span / renewals_per_span;
    if (created_ == 0)
    {
        acquire();
    }
    else
    {
        keep_alive();
    }
}

auto lease_holder::is_holder() const -> bool
{
    return created_ != 0;
}

auto lease_holder::write(std::vector<store_write> writes,
                         store_callback<store_commit_result> done) -> void
{
    if (created_ == 0)
    {
        done(make_error(error_kind::conflict, "the lease is not held"));
        return;
    }
    const store_compare fence{key_, store_compare::field::create_revision,
                              created_};
    target_.commit({{fence}, std::move(writes)}, std::move(done));
}

auto lease_holder::acquire() -> void
{
    target_.grant_lease(
        settings_.span,
        [this, alive = alive_](const absl::StatusOr<store_lease>& lease)
        {
            if (*alive && lease.ok())
            {
                create_key(lease->id);
            }
        });
}

auto lease_holder::create_key(lease_id lease) -> void
{
    const auto asked_at = now_;
    const store_compare absent{key_, store_compare::field::create_revision, 0};
    target_.commit(
        {{absent}, {{key_, name_, false, lease}}},
        [this, lease, asked_at,
         alive = alive_](const absl::StatusOr<store_commit_result>& result)
        {
            if (!*alive || !result.ok() || !result->succeeded)
            {
                return;
            }
            lease_ = lease;
            created_ = result->revision;
            // Counted from the question, as the answer may have been slow.
            held_until_ = asked_at + settings_.span;
            if (settings_.events)
            {
                settings_.events(event("lease_held").with("key", key_));
            }
        });
}

auto lease_holder::keep_alive() -> void
{
    const auto asked_at = now_;
    target_.keep_alive(lease_,
                       [this, asked_at, alive = alive_](
                           const absl::StatusOr<store_lease>& lease)
                       {
                           if (!*alive || !lease.ok() || created_ == 0)
                           {
                               return;
                           }
                           if (lease->remaining <= millis{})
                           {
                               lose("expired");
                               return;
                           }
                           held_until_ = asked_at + lease->remaining;
                       });
}

auto lease_holder::lose(std::string_view reason) -> void
{
    created_ = 0;
    lease_ = 0;
    next_ = now_;
    if (settings_.events)
    {
        settings_.events(event("lease_lost", event_level::warning)
                             .with("key", key_)
                             .with("reason", reason));
    }
}

} // namespace briardrum
