#include "membership/gossip/gossiper.hpp"

#include "membership/gossip/relay_choice.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace briardrum
{

namespace
{

// Share of gossip messages sent to a random member of any data centre, so that
// changes still cross data centres while their relays are down and not yet
// replaced.
constexpr double random_target_share = 0.05;

// Share of anti-entropy messages sent to other data centres.
constexpr double remote_anti_entropy_share = 0.25;

// Number of requests to an address at which no member is known. Several, since
// requests are lost, or arrive while the process there is restarting; a limited
// number, since an address may be out of date.
constexpr std::uint32_t contact_requests_max = 8;

// Bound of the addresses kept, which may come from malformed messages.
constexpr std::size_t contacts_max = 1024;

// Records per message of a full copy, as a multiple of records_per_message.
constexpr std::size_t snapshot_size_factor = 8;

auto random_offset(random_source& random, millis span) -> millis
{
    return milliseconds(static_cast<std::int64_t>(
        random.below(static_cast<std::uint64_t>(span.count))));
}

} // namespace

gossiper::gossiper(const member_table& members, member_id self,
                   std::vector<endpoint> start_addresses,
                   const membership_settings& settings, send_hook send,
                   std::uint64_t seed)
    : members_(members), self_(self),
      start_addresses_(std::move(start_addresses)), settings_(settings),
      send_(std::move(send)), random_(seed)
{
    std::erase(start_addresses_, own().control_address);
    next_round_ = random_offset(random_, settings_.gossip_interval);
    next_anti_entropy_ =
        random_offset(random_, settings_.anti_entropy_interval);
    anti_entropy_index_ = random_.below(1U << 20U);
    next_start_address_ = random_.below(1U << 10U);
}

auto gossiper::own() const -> const member_record&
{
    return *members_.find(self_);
}

auto gossiper::add_start_addresses(std::span<const endpoint> more) -> void
{
    for (const auto& it : more)
    {
        const auto known =
            std::find(start_addresses_.begin(), start_addresses_.end(), it);
        if (known == start_addresses_.end() && it != own().control_address)
        {
            start_addresses_.push_back(it);
            introduce(it);
            contact(it);
        }
    }
}

auto gossiper::introduce(const endpoint& address) -> void
{
    send_(address, gossip_message{{own()}, false});
}

auto gossiper::contact(const endpoint& address) -> void
{
    const auto known = std::any_of(contacts_.begin(), contacts_.end(),
                                   [&](const contact_address& it)
                                   {
                                       return it.address == address;
                                   });
    if (!known && contacts_.size() < contacts_max &&
        address != own().control_address && !is_address_of_live_member(address))
    {
        contacts_.push_back({address});
    }
}

auto gossiper::is_address_of_live_member(const endpoint& address) const -> bool
{
    const auto all = members_.records();
    return std::any_of(all.begin(), all.end(),
                       [&](const member_record& it)
                       {
                           return is_live(it.state) &&
                                  it.control_address == address;
                       });
}

auto gossiper::contact_next_address() -> bool
{
    if (contacts_.empty())
    {
        return false;
    }
    next_contact_ = (next_contact_ + 1) % contacts_.size();
    auto& it = contacts_[next_contact_];
    const auto to = it.address;
    if (++it.requests >= contact_requests_max)
    {
        contacts_.erase(contacts_.begin() +
                        static_cast<std::ptrdiff_t>(next_contact_));
    }
    send_(to, gossip_message{{own()}, true});
    return true;
}

auto gossiper::on_known(const member_record& record) -> void
{
    if (is_live(record.state) && !contacts_.empty())
    {
        std::erase_if(contacts_,
                      [&](const contact_address& it)
                      {
                          return it.address == record.control_address;
                      });
    }
}

auto gossiper::queue(member_id id) -> void
{
    changes_.add(id, sends_per_change());
}

auto gossiper::on_received(member_id id) -> void
{
    changes_.on_received(id);
}

auto gossiper::gossip_at_next_tick() -> void
{
    next_round_ = {};
}

// With n sends per member, a change misses about one member in e^n. The minimum
// covers members that do not know yet how many others there are.
auto gossiper::sends_per_change() const -> send_counts
{
    const auto count = [](std::size_t n)
    {
        constexpr double sends_min = 12;
        const auto sends = 2 * std::log(static_cast<double>(n) + 1);
        return static_cast<std::uint32_t>(
            std::ceil(std::max(sends, sends_min)));
    };
    const auto local = members_.live_in(own().data_centre).size();
    const auto remote = members_.data_centres().size() - 1;
    return {count(local), count(remote * relays_per_data_centre)};
}

auto gossiper::is_relay() const -> bool
{
    const auto& name = own().data_centre;
    const auto relays = choose_relays(name, members_.live_in(name));
    return std::find(relays.begin(), relays.end(), self_) != relays.end();
}

auto gossiper::tick(millis now) -> void
{
    if (next_round_ <= now)
    {
        round();
        next_round_ = now + settings_.gossip_interval;
    }
    if (next_anti_entropy_ <= now)
    {
        anti_entropy_round();
        reconnection_round();
        next_anti_entropy_ = now + settings_.anti_entropy_interval;
    }
}

auto gossiper::round() -> void
{
    for (std::uint32_t n = 0; n < settings_.gossip_fanout; ++n)
    {
        if (!changes_.any(gossip_scope::local))
        {
            break;
        }
        const auto to_random_member = random_.chance(random_target_share);
        const auto* target = to_random_member ? nullptr : next_local_member();
        if (target == nullptr)
        {
            target = pick_random(members_.live());
        }
        if (target != nullptr)
        {
            send_changes(target->control_address, gossip_scope::local);
        }
    }
    relay_round();
}

// Returns the next live member of the own data centre, or nullptr.
auto gossiper::next_local_member() -> const member_record*
{
    const auto refill = [this]() -> std::vector<member_id>
    {
        const auto ids = members_.live_in(own().data_centre);
        return {ids.begin(), ids.end()};
    };
    const auto usable = [this](member_id id)
    {
        const auto* record = members_.find(id);
        return id != self_ && record != nullptr && is_live(record->state);
    };
    return members_.find(rotation_.next(random_, refill, usable));
}

auto gossiper::relay_round() -> void
{
    if (!changes_.any(gossip_scope::remote) || !is_relay())
    {
        changes_.clear(gossip_scope::remote);
        return;
    }
    for (std::uint32_t n = 0; n < settings_.gossip_fanout; ++n)
    {
        if (!changes_.any(gossip_scope::remote))
        {
            return;
        }
        const auto name = pick_remote_data_centre();
        if (name.empty())
        {
            return;
        }
        const auto relays = choose_relays(name, members_.live_in(name));
        if (const auto* target = pick_random(relays); target != nullptr)
        {
            send_changes(target->control_address, gossip_scope::remote);
        }
    }
}

// Returns a random data centre other than the own one, or an empty string.
auto gossiper::pick_remote_data_centre() -> std::string
{
    const auto& all = members_.data_centres();
    if (all.size() < 2)
    {
        return {};
    }
    auto it = std::next(all.begin(),
                        static_cast<long>(random_.below(all.size() - 1)));
    if (it->first >= own().data_centre)
    {
        ++it;
    }
    return it == all.end() ? std::string{} : it->first;
}

auto gossiper::pick_random(std::span<const member_id> from)
    -> const member_record*
{
    constexpr int tries = 4;
    for (int n = 0; n < tries && !from.empty(); ++n)
    {
        const auto id = from[random_.below(from.size())];
        if (id != self_)
        {
            return members_.find(id);
        }
    }
    return nullptr;
}

auto gossiper::send_changes(const endpoint& to, gossip_scope scope) -> void
{
    const auto ids = changes_.take(scope, settings_.records_per_message);
    send_records(to, ids);
}

auto gossiper::send_records(const endpoint& to, std::span<const member_id> ids)
    -> void
{
    auto message = collect(ids);
    if (!message.records.empty())
    {
        send_(to, std::move(message));
    }
}

auto gossiper::collect(std::span<const member_id> ids) const -> gossip_message
{
    gossip_message message;
    for (const auto id : ids)
    {
        if (const auto* record = members_.find(id); record != nullptr)
        {
            message.records.push_back(*record);
        }
    }
    return message;
}

auto gossiper::anti_entropy_round() -> void
{
    const auto remote = random_.chance(remote_anti_entropy_share);
    const auto from =
        remote ? members_.live() : members_.live_in(own().data_centre);
    if (const auto* target = pick_random(from); target != nullptr)
    {
        send_records(target->control_address, anti_entropy_records());
    }
}

// Returns the own record and the next ones of a cyclic walk over all records.
auto gossiper::anti_entropy_records() -> std::vector<member_id>
{
    const auto all = members_.records();
    const auto n =
        std::min<std::size_t>(all.size(), settings_.records_per_message - 1);
    std::vector<member_id> ids = {self_};
    for (std::size_t i = 0; i < n; ++i)
    {
        anti_entropy_index_ = (anti_entropy_index_ + 1) % all.size();
        if (all[anti_entropy_index_].id != self_)
        {
            ids.push_back(all[anti_entropy_index_].id);
        }
    }
    return ids;
}

// Contacts a start address or a dead member that may be reachable again, so
// that a partitioned fleet merges once the network heals.
auto gossiper::reconnection_round() -> void
{
    if (!is_relay())
    {
        return;
    }
    if (const auto address = pick_unreachable_address(); !address.is_none())
    {
        send_records(address, anti_entropy_records());
    }
}

auto gossiper::pick_unreachable_address() -> endpoint
{
    std::vector<endpoint> unreachable = start_addresses_;
    for (const auto& record : members_.records())
    {
        if (is_live(record.state))
        {
            std::erase(unreachable, record.control_address);
        }
        else if (record.state == member_state::dead)
        {
            unreachable.push_back(record.control_address);
        }
    }
    return unreachable.empty() ? endpoint{}
                               : unreachable[random_.below(unreachable.size())];
}

auto gossiper::send_all_records(const endpoint& to) -> void
{
    const auto all = members_.records();
    const auto per_message =
        settings_.records_per_message * snapshot_size_factor;
    for (std::size_t n = 0; n < all.size(); n += per_message)
    {
        const auto part = all.subspan(n, std::min(per_message, all.size() - n));
        send_(to, gossip_message{{part.begin(), part.end()}, false});
    }
}

auto gossiper::request_all_records() -> endpoint
{
    endpoint to;
    const auto* known = pick_random(members_.live());
    const auto use_start = known == nullptr || random_.chance(0.5);
    if (use_start && !start_addresses_.empty())
    {
        to = start_addresses_[next_start_address_++ % start_addresses_.size()];
    }
    else if (known != nullptr)
    {
        to = known->control_address;
    }
    if (!to.is_none())
    {
        send_(to, gossip_message{{own()}, true});
    }
    return to;
}

} // namespace briardrum
