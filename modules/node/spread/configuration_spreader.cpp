#include "node/spread/configuration_spreader.hpp"

#include "node/spread/watcher_choice.hpp"

#include <algorithm>
#include <utility>

namespace briardrum
{

namespace
{

// What a message costs beside its keys and values.
constexpr std::size_t message_head_bytes = 80;

// Known versions are dropped when they outnumber the members by this.
constexpr std::size_t heard_per_member_max = 2;

auto is_live(const member_record& record) -> bool
{
    return record.state < member_state::left;
}

} // namespace

configuration_spreader::configuration_spreader(spread_settings settings,
                                               spread_hooks hooks,
                                               std::uint64_t seed)
    : settings_(settings), hooks_(std::move(hooks)), random_(seed),
      log_(settings.delta_bytes_max), push_tokens_(settings.push_burst_bytes),
      snapshot_tokens_(settings.snapshot_bytes_per_second)
{
}

auto configuration_spreader::newest() const
    -> const std::shared_ptr<const configuration>&
{
    return newest_;
}

auto configuration_spreader::version() const -> configuration_version
{
    return newest_ == nullptr ? 0 : newest_->version;
}

auto configuration_spreader::is_watcher() const -> bool
{
    return watcher_;
}

auto configuration_spreader::on_store(millis now,
                                      std::shared_ptr<const configuration> next)
    -> bool
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

auto configuration_spreader::on_control(millis now,
                                        const control_message& message) -> bool
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

auto configuration_spreader::tick(millis now) -> void
{
    refill(now);
    update_watcher(now);
    if (now >= next_compare_)
    {
        compare(now);
    }
    if (pushes_done_ < settings_.push_fanout.size() && now >= next_push_)
    {
        push(now);
    }
}

auto configuration_spreader::on_message(millis now, member_id from,
                                        const configuration_message& message)
    -> void
{
    note_held(from, message.to_version);
    if (message.to_version <= version())
    {
        return;
    }
    if (message.from_version > version())
    {
        const auto* sender = hooks_.find(from);
        if (sender != nullptr)
        {
            request(*sender);
        }
        return;
    }
    // Changes lead on from any version between their ends; a snapshot, from
    // nothing only, as it does not name what was removed.
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

auto configuration_spreader::on_request(millis now, member_id from,
                                        const configuration_request& asked)
    -> void
{
    note_held(from, asked.held_version);
    const auto* sender = hooks_.find(from);
    if (sender == nullptr)
    {
        return;
    }
    if (asked.held_version > version())
    {
        request(*sender);
        return;
    }
    if (asked.held_version == version())
    {
        return;
    }
    auto changes = log_.since(asked.held_version);
    auto start = asked.held_version;
    if (!changes.has_value() || asked.held_version == 0)
    {
        refill(now);
        if (snapshot_tokens_ <= 0)
        {
            return;
        }
        changes = write_values(*newest_);
        snapshot_tokens_ -= static_cast<double>(bytes_of(*changes));
        start = 0;
    }
    send(*sender, configuration_message{start, version(), *std::move(changes)});
}

auto configuration_spreader::adopt(millis now,
                                   std::shared_ptr<const configuration> next,
                                   std::vector<configuration_change> changes)
    -> void
{
    const auto before = version();
    // A configuration in force must never go back to an older one.
    BRIARDRUM_INVARIANT(next->version > before);
    log_.add(before, next->version, std::move(changes));
    newest_ = std::move(next);
    const auto is_pushing = pushes_done_ < settings_.push_fanout.size();
    push_from_ = is_pushing ? std::min(push_from_, before) : before;
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

auto configuration_spreader::refill(millis now) -> void
{
    const auto elapsed = static_cast<double>((now - refilled_at_).count) / 1000;
    if (elapsed <= 0)
    {
        return;
    }
    refilled_at_ = now;
    push_tokens_ = std::min<double>(
        settings_.push_burst_bytes,
        push_tokens_ + elapsed * settings_.push_bytes_per_second);
    snapshot_tokens_ = std::min<double>(
        settings_.snapshot_bytes_per_second,
        snapshot_tokens_ + elapsed * settings_.snapshot_bytes_per_second);
}

// Pushes to the next few members, unless the bytes of the last pushes have
// to be waited for; the changes that come meanwhile go along.
auto configuration_spreader::push(millis now) -> void
{
    refill(now);
    next_push_ = now + settings_.push_interval;
    if (push_tokens_ <= 0)
    {
        return;
    }
    const auto fanout = settings_.push_fanout.at(pushes_done_);
    ++pushes_done_;
    for (const auto* target : pick(fanout, {true, true}))
    {
        push_to(*target);
    }
    if (watcher_ && pushes_done_ == 1)
    {
        // An offer without changes: who is behind asks for them.
        for (const auto* target : pick(1, {false, true}))
        {
            send(*target, configuration_message{version(), version(), {}});
        }
    }
}

auto configuration_spreader::push_to(const member_record& target) -> void
{
    auto changes = push_from_ == 0 ? std::nullopt : log_.since(push_from_);
    const auto start = changes.has_value() ? push_from_ : version();
    configuration_message message{start, version(), {}};
    if (changes.has_value())
    {
        message.changes = *std::move(changes);
    }
    push_tokens_ -=
        static_cast<double>(bytes_of(message.changes) + message_head_bytes);
    send(target, std::move(message));
}

auto configuration_spreader::compare(millis now) -> void
{
    const auto interval = newest_ == nullptr ? settings_.newcomer_interval
                                             : settings_.compare_interval;
    // Spread by a quarter, so that daemons started together drift apart.
    const auto jitter =
        random_.below(static_cast<std::uint64_t>(interval.count / 4 + 1));
    next_compare_ = now + interval +
                    milliseconds(static_cast<std::int64_t>(jitter)) -
                    interval / 8;
    compare_elsewhere_ = watcher_ && !compare_elsewhere_;
    auto targets = pick(1, {!compare_elsewhere_, false});
    if (targets.empty())
    {
        targets = pick(1, {compare_elsewhere_, false});
    }
    for (const auto* target : targets)
    {
        request(*target);
    }
}

auto configuration_spreader::request(const member_record& target) -> void
{
    send(target, configuration_request{version()});
}

auto configuration_spreader::send(const member_record& target,
                                  control_body body) -> void
{
    const auto& self = hooks_.self();
    hooks_.send(target.control_address,
                control_message{self.id, self.incarnation, std::move(body)});
}

auto configuration_spreader::note_held(member_id id,
                                       configuration_version version) -> void
{
    if (heard_.size() > heard_per_member_max * (hooks_.records().size() + 1))
    {
        heard_.clear();
    }
    heard_[id] = version;
}

auto configuration_spreader::held_by(const member_record& record) const
    -> configuration_version
{
    const auto it = heard_.find(record.id);
    const auto heard = it == heard_.end() ? 0 : it->second;
    return std::max(heard, record.held_version);
}

auto configuration_spreader::is_behind(const member_record& record) const
    -> bool
{
    return held_by(record) < version();
}

// Members at random that fit the rule.
auto configuration_spreader::pick(std::size_t count, target_rule rule)
    -> std::vector<const member_record*>
{
    const auto& self = hooks_.self();
    std::vector<const member_record*> fitting;
    for (const auto& record : hooks_.records())
    {
        const auto is_near = record.data_centre == self.data_centre;
        if (record.id != self.id && is_live(record) &&
            is_near == rule.same_data_centre &&
            (!rule.only_behind || is_behind(record)))
        {
            fitting.push_back(&record);
        }
    }
    for (std::size_t n = 0; n < std::min(count, fitting.size()); ++n)
    {
        std::swap(fitting[n], fitting[n + random_.below(fitting.size() - n)]);
    }
    fitting.resize(std::min(count, fitting.size()));
    return fitting;
}

auto configuration_spreader::update_watcher(millis now) -> void
{
    if (now < next_watcher_check_)
    {
        return;
    }
    next_watcher_check_ = now + settings_.watcher_interval;
    const auto& self = hooks_.self();
    const auto chosen = choose_watchers(self.data_centre, hooks_.records());
    watcher_ = std::find(chosen.begin(), chosen.end(), self.id) != chosen.end();
}

} // namespace briardrum
