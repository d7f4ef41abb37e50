#include "membership/member_view.hpp"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace briardrum
{

namespace
{

constexpr millis forget_interval = seconds(10);

// A member is told so often at most that it is taken for suspect or dead.
constexpr millis tell_interval = milliseconds(200);

// After so long without a message from others, changes were missed.
constexpr millis missed_changes_after = seconds(10);

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
                    claim_state(now, id, state);
                }},
               random_.bits())
{
    gossiper_.queue(self_);
}

auto member_view::add_start_addresses(std::span<const endpoint> more) -> void
{
    gossiper_.add_start_addresses(more);
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
    notice_pause(now);
    notice_sender(now, message.from);
    if (const auto* gossip = std::get_if<gossip_message>(&message.body))
    {
        on_gossip(now, message, *gossip);
    }
    else if (const auto* probe = std::get_if<probe_message>(&message.body))
    {
        failure_.on_probe(now, message.from, *probe);
    }
    else
    {
        failure_.on_ack(now, std::get<probe_ack_message>(message.body));
    }
    tell_sender_its_state(now, message);
    return true;
}

auto member_view::on_gossip(millis now, const control_message& message,
                            const gossip_message& gossip) -> void
{
    // A newcomer's whole copy is news to nobody else.
    const auto spread = gossip.records.size() <= settings_.records_per_message;
    std::vector<member_id> outdated;
    for (const auto& claim : gossip.records)
    {
        if (on_claim(now, claim, spread) == merge_outcome::older)
        {
            outdated.push_back(claim.id);
        }
    }
    const auto to = address_of_sender(message.from, gossip);
    if (to.is_none())
    {
        return;
    }
    if (gossip.want_all)
    {
        gossiper_.send_all(to);
        return;
    }
    notice_answer(to);
    if (!outdated.empty())
    {
        gossiper_.send_records(to, outdated);
    }
}

// Where the sender says it is, for another process may go by its name since.
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

auto member_view::on_claim(millis now, const member_record& claim, bool spread)
    -> merge_outcome
{
    if (claim.id == self_)
    {
        on_claim_about_self(claim);
        return merge_outcome::repeated;
    }
    const auto result = members_.merge(claim);
    if (result.outcome == merge_outcome::taken)
    {
        after_change(now, result, claim.id, spread);
    }
    else if (result.outcome == merge_outcome::repeated)
    {
        gossiper_.heard(claim.id);
    }
    return result.outcome;
}

auto member_view::on_claim_about_self(const member_record& claim) -> void
{
    if (!supersedes(claim, self()))
    {
        if (!supersedes(self(), claim))
        {
            gossiper_.heard(self_);
        }
        return;
    }
    const auto elsewhere = claim.data_address != self().data_address;
    if (claim.incarnation > self().incarnation && elsewhere)
    {
        replaced_ = true;
        if (hooks_.events)
        {
            hooks_.events(event("member_replaced", event_level::error)
                              .with("member", claim.name)
                              .with("by", to_string(claim.data_address))
                              .with("life", claim.incarnation));
        }
        return;
    }
    if (self().state == member_state::left)
    {
        return;
    }
    if (claim.incarnation > self().incarnation || !is_live(claim.state))
    {
        raise_life(claim);
    }
    else
    {
        refute(claim);
    }
}

auto member_view::refute(const member_record& claim) -> void
{
    change_self(
        [&](member_record& own)
        {
            own.version = claim.version;
        });
    if (hooks_.events)
    {
        hooks_.events(event("member_refuted").with("version", self().version));
    }
}

auto member_view::raise_life(const member_record& claim) -> void
{
    change_self(
        [&](member_record& own)
        {
            own.incarnation = std::max(own.incarnation, claim.incarnation) + 1;
        });
    if (hooks_.events)
    {
        hooks_.events(event("member_life_raised", event_level::warning)
                          .with("member", self().name)
                          .with("claimed", to_string(claim.state))
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
    gossiper_.hurry();
    const auto before = result.before.value_or(own);
    report_change(self(), &before);
}

auto member_view::claim_state(millis now, member_id id, member_state state)
    -> void
{
    const auto* known = find(id);
    if (known == nullptr || known->state >= state || !is_live(known->state))
    {
        return;
    }
    auto claim = *known;
    claim.state = state;
    const auto result = members_.merge(claim);
    after_change(now, result, id, true);
    gossiper_.hurry();
    gossiper_.send_records(claim.control_address, std::span(&id, 1));
}

auto member_view::after_change(millis now, const merge_result& result,
                               member_id id, bool spread) -> void
{
    const auto& record = *find(id);
    if (spread)
    {
        gossiper_.queue(id);
    }
    if (is_live(record.state))
    {
        ended_.erase(id);
    }
    else
    {
        ended_.try_emplace(id, now);
    }
    failure_.on_changed(now, record);
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

// A member that speaks while it is taken for suspect, dead or an earlier life
// is told so, for only it can put that right.
auto member_view::tell_sender_its_state(millis now,
                                        const control_message& message) -> void
{
    const auto* known = find(message.from);
    if (known == nullptr || known->state == member_state::left ||
        (message.from_incarnation == known->incarnation &&
         known->state < member_state::suspect) ||
        message.from_incarnation > known->incarnation)
    {
        return;
    }
    auto& told = told_[message.from];
    if (told.count == 0 || now - told >= tell_interval)
    {
        told = now;
        const auto id = message.from;
        gossiper_.send_records(known->control_address, std::span(&id, 1));
    }
}

auto member_view::notice_pause(millis now) -> void
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
        failure_.restart(now);
        if (gap > missed_changes_after)
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

auto member_view::notice_sender(millis now, member_id) -> void
{
    if (now - last_heard_ > missed_changes_after)
    {
        resynchronise();
    }
    last_heard_ = now;
}

auto member_view::is_isolated(millis now) const -> bool
{
    const auto bound =
        settings_.probe_interval * 2 + settings_.probe_timeout * 3;
    return now - last_heard_ > bound;
}

auto member_view::doubt(millis now, member_id id) -> void
{
    failure_.probe_now(now, id);
}

auto member_view::tick(millis now) -> void
{
    notice_pause(now);
    if (replaced_)
    {
        return;
    }
    join(now);
    failure_.tick(now, is_isolated(now));
    gossiper_.tick(now);
    forget(now);
}

// Asks for everything until enough members answered: the first may itself
// have known little.
auto member_view::join(millis now) -> void
{
    if (answers_ >= settings_.join_answers || next_join_ > now)
    {
        return;
    }
    const auto alone = is_alone();
    const auto asks = alone ? settings_.join_asks_alone : 1;
    for (std::uint32_t n = 0; n < asks; ++n)
    {
        asked_ = gossiper_.ask_for_all();
    }
    next_join_ =
        now + (alone ? settings_.join_interval_alone : settings_.join_interval);
}

auto member_view::notice_answer(const endpoint& from) -> void
{
    if (from == asked_)
    {
        ++answers_;
        asked_ = {};
    }
}

auto member_view::is_alone() const -> bool
{
    return members_.live().size() <= 1;
}

auto member_view::has_synchronised() const -> bool
{
    return answers_ >= settings_.join_answers;
}

auto member_view::resynchronise() -> void
{
    answers_ = 0;
}

auto member_view::forget(millis now) -> void
{
    if (next_forget_ > now)
    {
        return;
    }
    next_forget_ = now + forget_interval;
    std::vector<member_id> over;
    for (const auto& [id, since] : ended_)
    {
        if (now - since >= settings_.forget_after)
        {
            over.push_back(id);
        }
    }
    for (const auto id : over)
    {
        ended_.erase(id);
    }
    members_.erase(over);
    std::erase_if(told_,
                  [&](const auto& item)
                  {
                      return now - item.second > tell_interval;
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

auto member_view::set_holds(millis, configuration_version version) -> void
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

auto member_view::epoch() const -> std::uint64_t
{
    return members_.epoch();
}

} // namespace briardrum
