#include "node/distribution/configuration_distributor.hpp"

#include "node/distribution/watcher_choice.hpp"

#include <algorithm>
#include <utility>

namespace briardrum
{

namespace
{

// Bytes counted for each message in addition to its keys and values.
constexpr std::size_t message_overhead_bytes = 80;

// The reported versions are cleared when they exceed this many per member.
constexpr std::size_t reported_versions_per_member_max = 2;

auto is_live(const member_record& record) -> bool
{
    return record.state < member_state::left;
}

} // namespace

configuration_distributor::configuration_distributor(
    distributor_settings settings, distributor_hooks hooks, std::uint64_t seed)
    : settings_(settings), hooks_(std::move(hooks)), random_(seed),
      log_(settings.delta_bytes_max), push_tokens_(settings.push_burst_bytes),
      snapshot_tokens_(settings.snapshot_bytes_per_second)
{
}

auto configuration_distributor::newest() const
    -> const std::shared_ptr<const configuration>&
{
    return newest_;
}

auto configuration_distributor::version() const -> configuration_version
{
    return newest_ == nullptr ? 0 : newest_->version;
}

auto configuration_distributor::is_watcher() const -> bool
{
    return is_watcher_;
}

auto configuration_distributor::on_stored_configuration(
    millis now, std::shared_ptr<const configuration> next) -> bool
{
    if (next == nullptr || next->version <= version())
    {
        return false;
    }
    auto changes = newest_ == nullptr ? write_values(*next)
                                      : changes_between(*newest_, *next);
    adopt(now, std::move(next), std::move(changes));
    return true;
}

auto configuration_distributor::on_control(millis now,
                                           const control_message& message)
    -> bool
{
    if (const auto* it = std::get_if<configuration_message>(&message.body))
    {
        on_message(now, message.from, *it);
        return true;
    }
    if (const auto* it = std::get_if<configuration_request>(&message.body))
    {
        on_request(now, message.from, *it);
        return true;
    }
    return false;
}

auto configuration_distributor::tick(millis now) -> void
{
    refill_tokens(now);
    update_watcher_role(now);
    if (now >= next_poll_)
    {
        poll_peer(now);
    }
    if (pushes_done_ < settings_.push_fanout.size() && now >= next_push_)
    {
        push(now);
    }
}

auto configuration_distributor::on_message(millis now, member_id from,
                                           const configuration_message& message)
    -> void
{
    record_reported_version(from, message.to_version);
    if (message.to_version <= version())
    {
        return;
    }
    if (message.from_version > version())
    {
        const auto* sender = hooks_.find(from);
        if (sender != nullptr)
        {
            request_update(*sender);
        }
        return;
    }
    // Changes can be applied to any version between from_version and
    // to_version. A snapshot replaces the configuration, because it does not
    // list removed keys.
    const auto is_snapshot = message.from_version == 0;
    auto base = is_snapshot || newest_ == nullptr ? configuration{} : *newest_;
    auto next = apply_changes(std::move(base), message.changes);
    if (!next.ok() || next->version != message.to_version)
    {
        if (hooks_.events)
        {
            hooks_.events(
                event("configuration_rejected", event_level::error)
                    .with("from", from)
                    .with("version", message.to_version)
                    .with("reason", std::string(next.status().message())));
        }
        return;
    }
    auto shared = std::make_shared<const configuration>(*std::move(next));
    auto changes = is_snapshot && newest_ != nullptr
                       ? changes_between(*newest_, *shared)
                       : message.changes;
    adopt(now, std::move(shared), std::move(changes));
}

auto configuration_distributor::on_request(millis now, member_id from,
                                           const configuration_request& request)
    -> void
{
    record_reported_version(from, request.held_version);
    const auto* sender = hooks_.find(from);
    if (sender == nullptr)
    {
        return;
    }
    if (request.held_version > version())
    {
        request_update(*sender);
        return;
    }
    if (request.held_version == version())
    {
        return;
    }
    auto changes = log_.since(request.held_version);
    auto start = request.held_version;
    if (!changes.has_value() || request.held_version == 0)
    {
        refill_tokens(now);
        if (snapshot_tokens_ <= 0)
        {
            return;
        }
        changes = write_values(*newest_);
        snapshot_tokens_ -= static_cast<double>(payload_size(*changes));
        start = 0;
    }
    send(*sender, configuration_message{start, version(), *std::move(changes)});
}

auto configuration_distributor::adopt(millis now,
                                      std::shared_ptr<const configuration> next,
                                      std::vector<configuration_change> changes)
    -> void
{
    const auto before = version();
    // The caller passed a version that is not larger. An adopted configuration
    // must never be replaced by an older one.
    BRIARDRUM_INVARIANT(next->version > before);
    log_.add(before, next->version, std::move(changes));
    newest_ = std::move(next);
    const auto is_pushing = pushes_done_ < settings_.push_fanout.size();
    push_base_version_ =
        is_pushing ? std::min(push_base_version_, before) : before;
    pushes_done_ = 0;
    hooks_.announce(now, version());
    if (hooks_.events)
    {
        hooks_.events(event("configuration_adopted")
                          .with("version", version())
                          .with("before", before)
                          .with("change", newest_->change_id)
                          .with("in_force", newest_->in_force));
    }
    if (hooks_.adopted)
    {
        hooks_.adopted(now, newest_);
    }
    if (now >= next_push_)
    {
        push(now);
    }
}

auto configuration_distributor::refill_tokens(millis now) -> void
{
    const auto elapsed =
        static_cast<double>((now - tokens_refilled_at_).count) / 1000;
    if (elapsed <= 0)
    {
        return;
    }
    tokens_refilled_at_ = now;
    push_tokens_ = std::min<double>(
        settings_.push_burst_bytes,
        push_tokens_ + elapsed * settings_.push_bytes_per_second);
    snapshot_tokens_ = std::min<double>(
        settings_.snapshot_bytes_per_second,
        snapshot_tokens_ + elapsed * settings_.snapshot_bytes_per_second);
}

// Pushes the pending changes to the next few members. Does nothing while
// earlier pushes exceed the rate limit; changes that arrive in the meantime are
// included in the next push.
auto configuration_distributor::push(millis now) -> void
{
    refill_tokens(now);
    next_push_ = now + settings_.push_interval;
    if (push_tokens_ <= 0)
    {
        return;
    }
    const auto fanout = settings_.push_fanout.at(pushes_done_);
    ++pushes_done_;
    for (const auto* target : pick_targets(fanout, {true, true}))
    {
        push_to(*target);
    }
    if (is_watcher_ && pushes_done_ == 1)
    {
        // Announces the version without changes to another data centre; a
        // member that is behind requests them.
        for (const auto* target : pick_targets(1, {false, true}))
        {
            send(*target, configuration_message{version(), version(), {}});
        }
    }
}

auto configuration_distributor::push_to(const member_record& target) -> void
{
    auto changes =
        push_base_version_ == 0 ? std::nullopt : log_.since(push_base_version_);
    const auto start = changes.has_value() ? push_base_version_ : version();
    configuration_message message{start, version(), {}};
    if (changes.has_value())
    {
        message.changes = *std::move(changes);
    }
    push_tokens_ -= static_cast<double>(payload_size(message.changes) +
                                        message_overhead_bytes);
    send(target, std::move(message));
}

auto configuration_distributor::poll_peer(millis now) -> void
{
    const auto interval = newest_ == nullptr ? settings_.bootstrap_interval
                                             : settings_.poll_interval;
    // Jitter of a quarter of the interval, so that daemons started together do
    // not poll in step.
    const auto jitter =
        random_.below(static_cast<std::uint64_t>(interval.count / 4 + 1));
    next_poll_ = now + interval +
                 milliseconds(static_cast<std::int64_t>(jitter)) - interval / 8;
    poll_other_data_centre_ = is_watcher_ && !poll_other_data_centre_;
    auto targets = pick_targets(1, {!poll_other_data_centre_, false});
    if (targets.empty())
    {
        targets = pick_targets(1, {poll_other_data_centre_, false});
    }
    for (const auto* target : targets)
    {
        request_update(*target);
    }
}

auto configuration_distributor::request_update(const member_record& target)
    -> void
{
    send(target, configuration_request{version()});
}

auto configuration_distributor::send(const member_record& target,
                                     control_body body) -> void
{
    const auto& self = hooks_.self();
    hooks_.send(target.control_address,
                control_message{self.id, self.incarnation, std::move(body)});
}

auto configuration_distributor::record_reported_version(
    member_id id, configuration_version version) -> void
{
    if (reported_versions_.size() >
        reported_versions_per_member_max * (hooks_.records().size() + 1))
    {
        reported_versions_.clear();
    }
    reported_versions_[id] = version;
}

auto configuration_distributor::known_version_of(
    const member_record& record) const -> configuration_version
{
    const auto it = reported_versions_.find(record.id);
    const auto heard = it == reported_versions_.end() ? 0 : it->second;
    return std::max(heard, record.held_version);
}

auto configuration_distributor::is_behind(const member_record& record) const
    -> bool
{
    return known_version_of(record) < version();
}

// Returns up to count random live members that match the filter.
auto configuration_distributor::pick_targets(std::size_t count,
                                             target_filter filter)
    -> std::vector<const member_record*>
{
    const auto& self = hooks_.self();
    std::vector<const member_record*> candidates;
    for (const auto& record : hooks_.records())
    {
        const auto in_same_data_centre = record.data_centre == self.data_centre;
        if (record.id != self.id && is_live(record) &&
            in_same_data_centre == filter.same_data_centre &&
            (!filter.only_behind || is_behind(record)))
        {
            candidates.push_back(&record);
        }
    }
    for (std::size_t n = 0; n < std::min(count, candidates.size()); ++n)
    {
        std::swap(candidates[n],
                  candidates[n + random_.below(candidates.size() - n)]);
    }
    candidates.resize(std::min(count, candidates.size()));
    return candidates;
}

auto configuration_distributor::update_watcher_role(millis now) -> void
{
    if (now < next_watcher_selection_)
    {
        return;
    }
    next_watcher_selection_ = now + settings_.watcher_selection_interval;
    const auto& self = hooks_.self();
    const auto chosen = choose_watchers(self.data_centre, hooks_.records());
    is_watcher_ =
        std::find(chosen.begin(), chosen.end(), self.id) != chosen.end();
}

} // namespace briardrum
