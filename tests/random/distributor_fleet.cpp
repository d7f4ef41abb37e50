#include "tests/random/distributor_fleet.hpp"

#include <doctest/doctest.h>

namespace briardrum::tests
{

namespace
{

constexpr auto tick_interval = milliseconds(50);

auto first_configuration() -> std::shared_ptr<const configuration>
{
    auto value = initial_configuration({});
    const auto edited = apply_edit(
        value, create_service{"orders", {endpoint{0x0a000001, 5683}, {}}},
        {"1-a", "test", seconds(1)});
    return std::make_shared<const configuration>(edited.value().after);
}

} // namespace

distributor_fleet::distributor_fleet(std::uint64_t seed, delivery_faults faults)
    : random_(seed), faults_(faults), stored_(first_configuration()),
      written_({{now_, 1}})
{
}

auto distributor_fleet::join(const std::string& data_centre) -> daemon&
{
    auto& added = daemons_.emplace_back();
    const auto n = daemons_.size();
    added.record.name = "d" + std::to_string(n);
    added.record.id = member_id_of(added.record.name);
    added.record.incarnation = 1;
    added.record.state = member_state::ready;
    added.record.data_centre = data_centre;
    added.record.control_address = {static_cast<std::uint32_t>(n), 1};
    added.joined = now_;
    distributor_hooks hooks;
    hooks.self = [&added]() -> const member_record&
    {
        return added.record;
    };
    hooks.records = [this]
    {
        return std::span<const member_record>(records_);
    };
    hooks.find = [this](member_id id) -> const member_record*
    {
        for (const auto& record : records_)
        {
            if (record.id == id)
            {
                return &record;
            }
        }
        return nullptr;
    };
    hooks.announce = [&added](millis, configuration_version version)
    {
        added.record.held_version = version;
    };
    hooks.send = [this](const endpoint& to, const control_message& message)
    {
        send(to, message);
    };
    hooks.adopted = [&added](millis, const auto& next)
    {
        // Adopted versions only increase, whatever the network does.
        REQUIRE(next->version > added.adopted);
        added.adopted = next->version;
    };
    added.distributor = std::make_unique<configuration_distributor>(
        distributor_settings{}, hooks, random_.bits());
    publish_records();
    return added;
}

auto distributor_fleet::change() -> void
{
    const auto share = static_cast<std::uint32_t>(1 + stored_->version % 100);
    policy_fields fields;
    fields.share_percent = share;
    const auto version = stored_->version + 1;
    const auto edited =
        apply_edit(*stored_, edit_preset{"ordinary", {{"orders", fields}}, {}},
                   {std::to_string(version) + "-a", "test", now_});
    REQUIRE(edited.ok());
    stored_ = std::make_shared<const configuration>(edited->after);
    written_.emplace_back(now_, version);
}

auto distributor_fleet::run(millis span) -> void
{
    const auto end = now_ + span;
    while (now_ < end)
    {
        now_ += tick_interval;
        deliver();
        if (now_.count % 500 == 0)
        {
            publish_records();
        }
        notify_watchers();
        for (auto& item : daemons_)
        {
            if (!item.paused)
            {
                item.distributor->tick(now_);
            }
        }
    }
}

auto distributor_fleet::daemons() -> std::deque<daemon>&
{
    return daemons_;
}

auto distributor_fleet::now() const -> millis
{
    return now_;
}

auto distributor_fleet::stored() const -> const configuration&
{
    return *stored_;
}

auto distributor_fleet::set_store_up(bool up) -> void
{
    store_up_ = up;
}

auto distributor_fleet::all_converged_within(millis allowed) const -> bool
{
    configuration_version expected = 0;
    for (const auto& [at, version] : written_)
    {
        if (at + allowed <= now_)
        {
            expected = version;
        }
    }
    bool all_converged = true;
    for (const auto& item : daemons_)
    {
        const auto is_expected = !item.paused && item.joined + allowed <= now_;
        if (is_expected && item.distributor->version() < expected)
        {
            all_converged = false;
        }
    }
    return all_converged;
}

auto distributor_fleet::bytes_sent() const -> std::uint64_t
{
    return bytes_sent_;
}

auto distributor_fleet::send(const endpoint& to, const control_message& message)
    -> void
{
    if (const auto* it = std::get_if<configuration_message>(&message.body))
    {
        bytes_sent_ += payload_size(it->changes);
    }
    const auto copies = random_.chance(faults_.duplicate) ? 2 : 1;
    for (int n = 0; n < copies; ++n)
    {
        if (!random_.chance(faults_.drop))
        {
            const auto delay = random_.below(
                static_cast<std::uint64_t>(faults_.delay_max.count));
            queue_.emplace(now_ +
                               milliseconds(static_cast<std::int64_t>(delay)),
                           std::pair{to, message});
        }
    }
}

auto distributor_fleet::deliver() -> void
{
    while (!queue_.empty() && queue_.begin()->first <= now_)
    {
        const auto [to, message] = queue_.begin()->second;
        queue_.erase(queue_.begin());
        auto& target = daemons_.at(to.address - 1);
        if (!target.paused)
        {
            target.distributor->on_control(now_, message);
        }
    }
}

auto distributor_fleet::notify_watchers() -> void
{
    for (auto& item : daemons_)
    {
        // Models a store watch that delivers a change within about half a
        // second.
        if (store_up_ && item.store_reachable && !item.paused &&
            item.distributor->is_watcher() && random_.chance(0.2))
        {
            item.distributor->on_stored_configuration(now_, stored_);
        }
    }
}

auto distributor_fleet::publish_records() -> void
{
    records_.clear();
    for (const auto& item : daemons_)
    {
        records_.push_back(item.record);
    }
}

} // namespace briardrum::tests
