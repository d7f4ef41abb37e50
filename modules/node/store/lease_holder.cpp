#include "node/store/lease_holder.hpp"

#include <utility>

namespace briardrum
{

namespace
{

// Keep-alive attempts per lease duration.
constexpr std::int64_t renewals_per_ttl = 3;

} // namespace

lease_holder::lease_holder(store& target, std::string key, std::string name,
                           lease_holder_settings settings)
    : store_(target), key_(std::move(key)), name_(std::move(name)),
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
    if (create_revision_ != 0 && now >= held_until_)
    {
        on_lease_lost("lapsed");
    }
    if (now < next_attempt_)
    {
        return;
    }
    next_attempt_ = now + settings_.ttl / renewals_per_ttl;
    if (create_revision_ == 0)
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
    return create_revision_ != 0;
}

auto lease_holder::write(std::vector<store_write> writes,
                         store_callback<store_commit_result> done) -> void
{
    if (create_revision_ == 0)
    {
        done(make_error(error_kind::conflict, "the lease is not held"));
        return;
    }
    constexpr auto created = store_compare::field::create_revision;
    const store_compare held{key_, created, create_revision_};
    const store_compare held_by_this{acquisition_key_, created,
                                     create_revision_};
    store_.commit({{held, held_by_this}, std::move(writes)}, std::move(done));
}

auto lease_holder::acquire() -> void
{
    store_.grant_lease(
        settings_.ttl,
        [this, alive = alive_](const absl::StatusOr<store_lease>& lease)
        {
            if (*alive && lease.ok())
            {
                create_key(*lease);
            }
        });
}

auto lease_holder::create_key(const store_lease& lease) -> void
{
    const auto requested_at = now_;
    const store_compare absent{key_, store_compare::field::create_revision, 0};
    acquisition_key_ =
        key_ + "/" + name_ + "/" + std::to_string(++acquisitions_);
    store_.commit(
        {{absent},
         {{key_, name_, false, lease.id},
          {acquisition_key_, "", false, lease.id}}},
        [this, lease, requested_at,
         alive = alive_](const absl::StatusOr<store_commit_result>& result)
        {
            if (!*alive || !result.ok() || !result->succeeded)
            {
                return;
            }
            if (result->era != lease.era)
            {
                // The lease is gone, and its id may be another one's by now.
                return;
            }
            lease_ = lease.id;
            era_ = result->era;
            create_revision_ = result->revision;
            // Counted from the request, because the answer may be delayed.
            held_until_ = requested_at + settings_.ttl;
            if (settings_.events)
            {
                settings_.events(event("lease_held").with("key", key_));
            }
        });
}

auto lease_holder::keep_alive() -> void
{
    const auto requested_at = now_;
    store_.keep_alive(lease_,
                      [this, requested_at,
                       alive = alive_](const absl::StatusOr<store_lease>& lease)
                      {
                          if (*alive && create_revision_ != 0)
                          {
                              on_kept_alive(requested_at, lease);
                          }
                      });
}

auto lease_holder::on_kept_alive(millis requested_at,
                                 const absl::StatusOr<store_lease>& lease)
    -> void
{
    if (error_kind_of(lease.status()) == error_kind::not_found)
    {
        on_lease_lost("expired");
        return;
    }
    if (!lease.ok())
    {
        // Unknown whether it was renewed: it is held until it would lapse.
        return;
    }
    if (lease->era != era_)
    {
        // The id may have been given to another lease.
        on_lease_lost("restored");
        return;
    }
    if (lease->remaining <= millis{})
    {
        on_lease_lost("expired");
        return;
    }
    held_until_ = requested_at + lease->remaining;
}

auto lease_holder::on_lease_lost(std::string_view reason) -> void
{
    create_revision_ = 0;
    lease_ = 0;
    next_attempt_ = now_;
    if (settings_.events)
    {
        settings_.events(event("lease_lost", event_level::warning)
                             .with("key", key_)
                             .with("reason", reason));
    }
}

} // namespace briardrum
