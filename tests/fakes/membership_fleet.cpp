#include "tests/fakes/membership_fleet.hpp"

#include <doctest/doctest.h>

namespace briardrum::tests
{

namespace
{

constexpr millis tick_interval = milliseconds(100);
constexpr millis time_step = milliseconds(10);

auto make_member(const std::string& name, std::uint32_t address,
                 const std::string& data_centre) -> member_record
{
    member_record record;
    record.id = member_id_of(name);
    record.incarnation = 1;
    record.version = 1;
    record.state = member_state::ready;
    record.name = name;
    record.data_centre = data_centre;
    record.data_address = {address, 7000};
    record.control_address = {address, 7001};
    return record;
}

} // namespace

auto make_agent(std::uint32_t number, const std::string& service,
                const std::string& data_centre) -> member_record
{
    auto record = make_member("agent-" + std::to_string(number),
                              0x0a000000 + number, data_centre);
    record.kind = member_kind::agent;
    record.service_name = service;
    record.slots = 3;
    return record;
}

auto make_balancer(std::uint32_t number, const std::string& data_centre)
    -> member_record
{
    auto record = make_member("balancer-" + std::to_string(number),
                              0x0b000000 + number, data_centre);
    record.kind = member_kind::balancer;
    return record;
}

membership_fleet::membership_fleet(std::uint64_t seed, network_faults faults)
    : random_(seed), faults_(faults)
{
}

auto membership_fleet::start(const member_record& record,
                             std::optional<std::size_t> index) -> std::size_t
{
    const auto at = index.value_or(nodes_.size());
    if (at == nodes_.size())
    {
        nodes_.emplace_back();
    }
    std::vector<endpoint> start_addresses;
    if (at != 0)
    {
        start_addresses.push_back(nodes_[0].address);
    }
    auto& item = nodes_[at];
    item = {};
    item.address = record.control_address;
    item.view = std::make_unique<member_view>(record, start_addresses,
                                              membership_settings{},
                                              hooks_for(at), random_.bits());
    return at;
}

auto membership_fleet::hooks_for(std::size_t index) -> membership_hooks
{
    membership_hooks hooks;
    hooks.send =
        [this, index](const endpoint& to, const control_message& message)
    {
        transmit(index, to, message);
    };
    hooks.changed =
        [this](const member_record& after, const member_record* before)
    {
        if (before != nullptr)
        {
            CHECK(supersedes(after, *before));
        }
        if (after.state == member_state::dead)
        {
            declared_dead.insert(after.id);
        }
    };
    hooks.events = [this](const event& emitted)
    {
        ++events[std::string(emitted.name())];
    };
    return hooks;
}

auto membership_fleet::stop(std::size_t index) -> void
{
    nodes_[index].view.reset();
    nodes_[index].waiting.clear();
}

auto membership_fleet::pause(std::size_t index) -> void
{
    nodes_[index].paused = true;
}

auto membership_fleet::resume(std::size_t index) -> void
{
    auto& item = nodes_[index];
    item.paused = false;
    const auto waiting = std::exchange(item.waiting, {});
    for (const auto& message : waiting)
    {
        item.view->on_control(now_, message);
    }
}

auto membership_fleet::block_link(std::size_t from, std::size_t to) -> void
{
    blocked_links_.emplace(from, to);
}

auto membership_fleet::isolate(std::size_t index) -> void
{
    for (std::size_t n = 0; n < nodes_.size(); ++n)
    {
        block_link(n, index);
        block_link(index, n);
    }
}

auto membership_fleet::heal() -> void
{
    blocked_links_.clear();
}

auto membership_fleet::transmit(std::size_t from, const endpoint& to,
                                const control_message& message) -> void
{
    ++messages_;
    if (const auto* gossip = std::get_if<gossip_message>(&message.body))
    {
        records_sent_ += gossip->records.size();
    }
    if (!random_.chance(faults_.loss))
    {
        enqueue({from, to, message});
    }
    if (random_.chance(faults_.duplicates))
    {
        enqueue({from, to, message});
    }
}

auto membership_fleet::enqueue(queued_message item) -> void
{
    const auto jitter = milliseconds(static_cast<std::int64_t>(
        random_.below(static_cast<std::uint64_t>(faults_.jitter.count) + 1)));
    queue_.emplace(std::pair{now_ + faults_.delay + jitter, next_order_++},
                   std::move(item));
}

auto membership_fleet::run(millis span) -> void
{
    const auto end = now_ + span;
    while (now_ < end)
    {
        step();
    }
}

auto membership_fleet::run_until(const std::function<bool()>& condition,
                                 millis limit) -> bool
{
    const auto end = now_ + limit;
    while (!condition())
    {
        if (now_ >= end)
        {
            return false;
        }
        step();
    }
    return true;
}

auto membership_fleet::step() -> void
{
    now_ += time_step;
    while (!queue_.empty() && queue_.begin()->first.first <= now_)
    {
        const auto item = std::move(queue_.begin()->second);
        queue_.erase(queue_.begin());
        deliver(item);
    }
    for (std::size_t n = 0; n < nodes_.size(); ++n)
    {
        const auto offset = static_cast<std::int64_t>(n) * 10;
        const auto due = (now_.count + offset) % tick_interval.count == 0;
        if (due && nodes_[n].view && !nodes_[n].paused)
        {
            nodes_[n].view->tick(now_);
        }
    }
}

auto membership_fleet::deliver(const queued_message& item) -> void
{
    auto* to = find_running(item.to);
    if (to == nullptr)
    {
        return;
    }
    const auto index = static_cast<std::size_t>(to - nodes_.data());
    if (blocked_links_.contains({item.from, index}))
    {
        return;
    }
    if (to->paused)
    {
        to->waiting.push_back(item.message);
        return;
    }
    to->view->on_control(now_, item.message);
}

auto membership_fleet::find_running(const endpoint& address) -> node*
{
    for (auto& item : nodes_)
    {
        if (item.view && item.address == address)
        {
            return &item;
        }
    }
    return nullptr;
}

auto membership_fleet::view(std::size_t index) -> member_view&
{
    return *nodes_[index].view;
}

auto membership_fleet::size() const -> std::size_t
{
    return nodes_.size();
}

auto membership_fleet::now() const -> millis
{
    return now_;
}

auto membership_fleet::all_see(member_id id, member_state state) -> bool
{
    for (const auto& item : nodes_)
    {
        if (!item.view || item.paused)
        {
            continue;
        }
        const auto* record = item.view->find(id);
        if (record == nullptr || record->state != state)
        {
            return false;
        }
    }
    return true;
}

auto membership_fleet::converged() -> bool
{
    for (const auto& item : nodes_)
    {
        if (item.view && !all_see(item.view->self().id, member_state::ready))
        {
            return false;
        }
    }
    return true;
}

auto membership_fleet::messages() const -> std::uint64_t
{
    return messages_;
}

auto membership_fleet::records_sent() const -> std::uint64_t
{
    return records_sent_;
}

auto membership_fleet::reset_counts() -> void
{
    messages_ = 0;
    records_sent_ = 0;
}

} // namespace briardrum::tests
