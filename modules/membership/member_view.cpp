#include "membership/member_view.hpp"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace briardrum
{

namespace
{

constexpr millis forget_interval = seconds(10);

// Minimum interval between messages that tell a member that it is considered
// suspect or dead.
constexpr millis notify_interval = milliseconds(200);

// After this long without a message from any member, changes have been missed
// and all records are requested again.
constexpr millis resync_after = seconds(10);

// Minimum interval between log lines about messages of unknown members, which
// all members may send at the same time after a restart of this process.
constexpr millis unknown_sender_report_interval = milliseconds(200);

auto kind_of(const control_message& message) -> std::string_view
{
    if (std::holds_alternative<gossip_message>(message.body))
    {
        return "gossip";
    }
    return std::holds_alternative<probe_message>(message.body) ? "probe"
                                                               : "probe_ack";
}

} // namespace

member_view::member_view(const member_record& self,
                         std::vector<endpoint> start_addresses,
                         membership_settings settings, membership_hooks hooks,
                         std::uint64_t seed)
    : self_(self.id), settings_(settings), hooks_(std::move(hooks)),
      random_(seed), members_(self),
      gossiper_(
          members_, self_, std::move(start_addresses), settings,
          [this](const endpoint& to, gossip_message message)
          {
              send_to(to, std::move(message));
          },
          random_.bits()),
      failure_(members_, self_, settings,
               {[this](member_id id, control_body body)
                {
                    return send_to(id, std::move(body));
                },
                [this](millis now, member_id id, member_state state)
                {
                    declare_state(now, id, state);
                }},
               random_.bits())
{
    gossiper_.queue(self_);
}

auto member_view::add_start_addresses(std::span<const endpoint> more) -> void
{
    gossiper_.add_start_addresses(more);
}

// A member that ran on while this process was restarted probes the former
// incarnation, and is not known here. It is asked for its records.
auto member_view::contact_unknown_sender(member_id from,
                                         const endpoint& address) -> void
{
    if (find(from) == nullptr && !address.is_none())
    {
        gossiper_.contact(address);
    }
}

auto member_view::send_to(const endpoint& to, control_body body) -> void
{
    if (hooks_.send && !replaced_)
    {
        hooks_.send(to, {self_, self().incarnation, std::move(body)});
    }
}

auto member_view::send_to(member_id id, control_body body) -> bool
{
    const auto* record = find(id);
    if (record == nullptr || record->control_address == self().control_address)
    {
        return false;
    }
    if (auto* probe = std::get_if<probe_message>(&body))
    {
        probe->sender_address = self().control_address;
    }
    send_to(record->control_address, std::move(body));
    return true;
}

auto member_view::on_control(millis now, const control_message& message) -> bool
{
    const auto handled = std::visit(
        [&](const auto& body) -> bool
        {
            using body_type = std::decay_t<decltype(body)>;
            return std::is_same_v<body_type, gossip_message> ||
                   std::is_same_v<body_type, probe_message> ||
                   std::is_same_v<body_type, probe_ack_message>;
        },
        message.body);
    if (!handled || message.from == self_ || replaced_)
    {
        return handled;
    }
    detect_pause(now);
    record_contact(now, message.from);
    if (const auto* gossip = std::get_if<gossip_message>(&message.body))
    {
        on_gossip(now, message, *gossip);
    }
    else if (const auto* probe = std::get_if<probe_message>(&message.body))
    {
        contact_unknown_sender(message.from, probe->sender_address);
        failure_.on_probe(now, message.from, *probe);
    }
    else
    {
        failure_.on_ack(now, std::get<probe_ack_message>(message.body));
    }
    report_unknown_sender(now, message);
    notify_sender_of_its_state(now, message);
    return true;
}

auto member_view::on_gossip(millis now, const control_message& message,
                            const gossip_message& gossip) -> void
{
    // The records of a full copy are new to this member only, so they are not
    // gossiped further.
    const auto gossip_further =
        gossip.records.size() <= settings_.records_per_message;
    std::vector<member_id> outdated;
    const auto is_new_sender = find(message.from) == nullptr;
    for (const auto& update : gossip.records)
    {
        if (on_update(now, update, gossip_further) == merge_outcome::stale)
        {
            outdated.push_back(update.id);
        }
    }
    const auto to = address_of_sender(message.from, gossip);
    if (to.is_none())
    {
        return;
    }
    if (gossip.want_all)
    {
        gossiper_.send_all_records(to);
        return;
    }
    record_sync_answer(to);
    // After a restart of many members each is told of the others by themselves,
    // which takes one round trip; rounds of gossip take several intervals.
    if (is_new_sender && gossip.records.size() == 1)
    {
        gossiper_.introduce(to);
    }
    if (!outdated.empty())
    {
        gossiper_.send_records(to, outdated);
    }
}

// Prefers the address in the message: another process may have taken over the
// sender's name since.
auto member_view::address_of_sender(member_id from,
                                    const gossip_message& gossip) const
    -> endpoint
{
    for (const auto& record : gossip.records)
    {
        if (record.id == from)
        {
            return record.control_address;
        }
    }
    const auto* known = find(from);
    return known == nullptr ? endpoint{} : known->control_address;
}

auto member_view::on_update(millis now, const member_record& update,
                            bool gossip_further) -> merge_outcome
{
    if (update.id == self_)
    {
        const auto outdated = supersedes(self(), update);
        on_update_about_self(update);
        return outdated ? merge_outcome::stale : merge_outcome::duplicate;
    }
    const auto result = members_.merge(update);
    if (result.outcome == merge_outcome::applied)
    {
        after_change(now, result, update.id, gossip_further);
    }
    else if (result.outcome == merge_outcome::duplicate)
    {
        gossiper_.on_received(update.id);
    }
    else if (result.outcome == merge_outcome::unknown_not_live &&
             update.kind == member_kind::agent && hooks_.heard_of_departed)
    {
        hooks_.heard_of_departed(now, update);
    }
    return result.outcome;
}

auto member_view::on_update_about_self(const member_record& update) -> void
{
    if (!supersedes(update, self()))
    {
        if (!supersedes(self(), update))
        {
            gossiper_.on_received(self_);
        }
        return;
    }
    const auto at_other_address = update.data_address != self().data_address;
    if (update.incarnation > self().incarnation && at_other_address)
    {
        replaced_ = true;
        if (hooks_.events)
        {
            hooks_.events(event("member_replaced", event_level::error)
                              .with("member", update.name)
                              .with("by", to_string(update.data_address))
                              .with("life", update.incarnation));
        }
        return;
    }
    if (self().state == member_state::left)
    {
        return;
    }
    if (update.incarnation > self().incarnation || !is_live(update.state))
    {
        raise_incarnation(update);
    }
    else
    {
        refute(update);
    }
}

auto member_view::refute(const member_record& update) -> void
{
    change_self(
        [&](member_record& own)
        {
            own.version = update.version;
        });
    if (hooks_.events)
    {
        hooks_.events(event("member_refuted").with("version", self().version));
    }
}

auto member_view::raise_incarnation(const member_record& update) -> void
{
    change_self(
        [&](member_record& own)
        {
            own.incarnation = std::max(own.incarnation, update.incarnation) + 1;
        });
    if (hooks_.events)
    {
        hooks_.events(event("member_life_raised", event_level::warning)
                          .with("member", self().name)
                          .with("claimed", to_string(update.state))
                          .with("life", self().incarnation));
    }
}

template <typename Change>
auto member_view::change_self(Change change) -> void
{
    auto own = self();
    change(own);
    ++own.version;
    const auto result = members_.merge(own);
    gossiper_.queue(self_);
    gossiper_.gossip_at_next_tick();
    const auto before = result.before.value_or(own);
    report_change(self(), &before);
}

auto member_view::declare_state(millis now, member_id id, member_state state)
    -> void
{
    const auto* known = find(id);
    if (known == nullptr || known->state >= state || !is_live(known->state))
    {
        return;
    }
    auto update = *known;
    update.state = state;
    const auto result = members_.merge(update);
    after_change(now, result, id, true);
    gossiper_.gossip_at_next_tick();
    gossiper_.send_records(update.control_address, std::span(&id, 1));
}

auto member_view::after_change(millis now, const merge_result& result,
                               member_id id, bool gossip_further) -> void
{
    const auto& record = *find(id);
    if (gossip_further)
    {
        gossiper_.queue(id);
    }
    if (is_live(record.state))
    {
        departed_at_.erase(id);
    }
    else
    {
        departed_at_.try_emplace(id, now);
    }
    failure_.on_changed(now, record);
    gossiper_.on_known(record);
    report_change(record, result.before ? &*result.before : nullptr);
}

auto member_view::report_change(const member_record& after,
                                const member_record* before) -> void
{
    const auto state_changed = before == nullptr ||
                               before->state != after.state ||
                               before->incarnation != after.incarnation;
    if (hooks_.events && state_changed)
    {
        hooks_.events(event("member_changed")
                          .with("member", after.name)
                          .with("kind", to_string(after.kind))
                          .with("life", after.incarnation)
                          .with("state", to_string(after.state))
                          .with("was", before == nullptr
                                           ? std::string_view("unknown")
                                           : to_string(before->state)));
    }
    if (hooks_.changed)
    {
        hooks_.changed(after, before);
    }
}

// Sends a member its own record as known here if it differs from what the
// message shows: if the member is considered suspect or dead, which only the
// member itself can refute, or if it runs under another incarnation. A member
// that has a newer record answers with it.
auto member_view::notify_sender_of_its_state(millis now,
                                             const control_message& message)
    -> void
{
    const auto* known = find(message.from);
    const auto is_later =
        known != nullptr && message.from_incarnation > known->incarnation;
    if (known == nullptr || (known->state == member_state::left && !is_later) ||
        (message.from_incarnation == known->incarnation &&
         known->state < member_state::suspect))
    {
        return;
    }
    auto& last_sent = last_notified_[message.from];
    if (last_sent.count == 0 || now - last_sent >= notify_interval)
    {
        last_sent = now;
        const auto id = message.from;
        gossiper_.send_records(known->control_address, std::span(&id, 1));
    }
}

auto member_view::detect_pause(millis now) -> void
{
    const auto gap = now - last_active_;
    if (!active_)
    {
        active_ = true;
        last_heard_ = now;
    }
    else if (gap > settings_.probe_timeout * 2)
    {
        last_heard_ = now;
        failure_.restart_timeouts(now);
        if (gap > resync_after)
        {
            resynchronise();
        }
        if (hooks_.events)
        {
            hooks_.events(
                event("pause_noticed", event_level::warning)
                    .with("pause_ms", static_cast<std::uint64_t>(gap.count)));
        }
    }
    last_active_ = now;
}

auto member_view::record_contact(millis now, member_id) -> void
{
    if (now - last_heard_ > resync_after)
    {
        resynchronise();
    }
    last_heard_ = now;
}

auto member_view::report_unknown_sender(millis now,
                                        const control_message& message) -> void
{
    if (find(message.from) != nullptr || now < next_unknown_sender_report_ ||
        !hooks_.events)
    {
        return;
    }
    next_unknown_sender_report_ = now + unknown_sender_report_interval;
    hooks_.events(event("unknown_member_heard")
                      .with("id", message.from)
                      .with("life", message.from_incarnation)
                      .with("message", kind_of(message))
                      .with("live", std::uint64_t{live().size()}));
}

auto member_view::is_isolated(millis now) const -> bool
{
    const auto bound =
        settings_.probe_interval * 2 + settings_.probe_timeout * 3;
    return now - last_heard_ > bound;
}

auto member_view::probe_now(millis now, member_id id) -> void
{
    failure_.probe_now(now, id);
}

auto member_view::tick(millis now) -> void
{
    detect_pause(now);
    if (replaced_)
    {
        return;
    }
    join(now);
    failure_.tick(now, is_isolated(now));
    gossiper_.tick(now);
    forget(now);
}

// Requests all records until enough members have answered. A single answer is
// not enough, since the first member asked may know little itself. Addresses at
// which no member is known are contacted besides: after a restart of many
// members, those that answer first know only each other.
auto member_view::join(millis now) -> void
{
    if (next_join_ > now)
    {
        return;
    }
    const auto contacted = gossiper_.contact_next_address();
    if (has_synchronised() && !contacted)
    {
        return;
    }
    const auto alone = is_alone();
    const auto request_count = alone ? settings_.join_requests_when_alone : 1;
    for (std::uint32_t n = 0; n < request_count && !has_synchronised(); ++n)
    {
        sync_target_ = gossiper_.request_all_records();
    }
    next_join_ = now + (alone ? settings_.join_interval_when_alone
                              : settings_.join_interval);
}

auto member_view::record_sync_answer(const endpoint& from) -> void
{
    if (from == sync_target_)
    {
        ++sync_answers_;
        sync_target_ = {};
    }
}

auto member_view::is_alone() const -> bool
{
    return members_.live().size() <= 1;
}

auto member_view::has_synchronised() const -> bool
{
    return sync_answers_ >= settings_.join_answers;
}

auto member_view::resynchronise() -> void
{
    sync_answers_ = 0;
}

auto member_view::forget(millis now) -> void
{
    if (next_forget_ > now)
    {
        return;
    }
    next_forget_ = now + forget_interval;
    std::vector<member_id> expired;
    for (const auto& [id, since] : departed_at_)
    {
        if (now - since >= settings_.forget_after)
        {
            expired.push_back(id);
        }
    }
    for (const auto id : expired)
    {
        departed_at_.erase(id);
    }
    members_.erase(expired);
    std::erase_if(last_notified_,
                  [&](const auto& item)
                  {
                      return now - item.second > notify_interval;
                  });
}

auto member_view::set_state(millis, member_state state) -> void
{
    change_self(
        [&](member_record& own)
        {
            own.state = state;
        });
}

auto member_view::set_weight(millis, std::uint8_t weight_percent) -> void
{
    change_self(
        [&](member_record& own)
        {
            own.weight_percent = weight_percent;
        });
}

auto member_view::set_slots(millis, std::uint32_t slots) -> void
{
    change_self(
        [&](member_record& own)
        {
            own.slots = slots;
        });
}

auto member_view::set_service(millis, const std::string& service_name) -> void
{
    change_self(
        [&](member_record& own)
        {
            own.service_name = service_name;
        });
}

auto member_view::set_held_version(millis, configuration_version version)
    -> void
{
    auto own = self();
    own.held_version = version;
    members_.merge(own);
}

auto member_view::self() const -> const member_record&
{
    return *members_.find(self_);
}

auto member_view::is_replaced() const -> bool
{
    return replaced_;
}

auto member_view::find(member_id id) const -> const member_record*
{
    return members_.find(id);
}

auto member_view::records() const -> std::span<const member_record>
{
    return members_.records();
}

auto member_view::agents_of(const std::string& service_name) const
    -> std::span<const member_id>
{
    return members_.agents_of(service_name);
}

auto member_view::balancers() const -> std::span<const member_id>
{
    return members_.balancers();
}

auto member_view::live() const -> std::span<const member_id>
{
    return members_.live();
}

auto member_view::members_digest() const -> std::uint64_t
{
    return members_.members_digest();
}

auto member_view::epoch() const -> std::uint64_t
{
    return members_.epoch();
}

} // namespace briardrum
