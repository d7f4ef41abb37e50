#include "bench/control_fleet.hpp"

#include "wire/codec/control_codec.hpp"
#include "wire/framing/frame_reader.hpp"

#include <algorithm>
#include <array>
#include <string>

namespace briardrum::bench
{

namespace
{

constexpr auto tick_interval = milliseconds(50);
// Members look around at every second tick, as daemons do.
constexpr std::int64_t ticks_per_member_tick = 2;
constexpr std::array<const char*, 3> data_centres = {"trapani", "marsala",
                                                     "paceco"};
constexpr std::size_t start_addresses = 3;

auto service_name_of(std::size_t n) -> std::string
{
    return "service-" + std::to_string(n);
}

auto make_configuration(std::size_t services) -> configuration
{
    auto out = initial_configuration({});
    out.version = 1;
    for (std::size_t n = 0; n < services; ++n)
    {
        const auto name = service_name_of(n);
        const auto address = static_cast<std::uint32_t>(0x0b000000 + n);
        out.services[name] = {out.next_service_id++, name, {address, 5683}};
    }
    return out;
}

auto control_address_of(std::uint32_t n) -> endpoint
{
    return {0x0a000000 + n, 7000};
}

auto is_configuration(const control_message& message) -> bool
{
    return std::holds_alternative<configuration_message>(message.body) ||
           std::holds_alternative<configuration_request>(message.body);
}

} // namespace

// One daemon without its data path.
struct control_fleet::daemon
{
    daemon(control_fleet& fleet, const member_record& self,
           std::vector<endpoint> start, std::uint64_t seed)
        : view(self, std::move(start), {},
               {[&fleet](const endpoint& to, const control_message& message)
                {
                    fleet.send(to, message);
                },
                {},
                {}},
               seed),
          spreader({}, spread_hooks_of(fleet), seed + 1), way(fleet.data_),
          watcher(way, {}, {},
                  {[this]
                   {
                       return spreader.newest();
                   },
                   [this](millis at, std::shared_ptr<const configuration> it)
                   {
                       spreader.on_stored_configuration(at, std::move(it));
                   },
                   {}},
                  seed + 2)
    {
    }

    auto spread_hooks_of(control_fleet& fleet) -> distributor_hooks
    {
        auto out = make_distributor_hooks(view);
        out.send = [&fleet](const endpoint& to, const control_message& message)
        {
            fleet.send(to, message);
        };
        return out;
    }

    member_view view;
    configuration_distributor spreader;
    stand_in::virtual_store way;
    store_watcher watcher;
};

control_fleet::control_fleet(std::size_t daemons, std::size_t services,
                             std::uint64_t seed)
    : stored_(make_configuration(services))
{
    store_transaction all;
    for (const auto& item : write_values(stored_))
    {
        all.writes.push_back(
            {store_layout{}.key_of(item.key), item.value, false, 0});
    }
    data_.commit(all);
    data_.compact();
    for (std::uint32_t n = 0; n < daemons; ++n)
    {
        add_daemon(n, seed * 1000 + n);
    }
}

control_fleet::~control_fleet() = default;

auto control_fleet::add_daemon(std::uint32_t n, std::uint64_t seed) -> void
{
    member_record self;
    self.name = "daemon-" + std::to_string(n);
    self.id = member_id_of(self.name);
    self.incarnation = 1;
    self.state = member_state::ready;
    self.kind = n % 4 == 0 ? member_kind::balancer : member_kind::agent;
    self.data_centre = data_centres.at(n % data_centres.size());
    self.control_address = control_address_of(n);
    self.data_address = {self.control_address.address, 7001};
    self.service_name =
        self.kind == member_kind::agent ? service_name_of(0) : "";
    self.slots = 5;
    std::vector<endpoint> start;
    for (std::uint32_t other = 0; other < start_addresses; ++other)
    {
        if (other != n)
        {
            start.push_back(control_address_of(other));
        }
    }
    daemons_.push_back(std::make_unique<daemon>(*this, self, start, seed));
}

auto control_fleet::run(millis span) -> void
{
    const auto end = now_ + span;
    while (now_ < end)
    {
        now_ += tick_interval;
        deliver();
        for (auto& item : daemons_)
        {
            tick(*item);
        }
    }
}

auto control_fleet::tick(daemon& item) -> void
{
    if (now_.count / tick_interval.count % ticks_per_member_tick == 0)
    {
        item.view.tick(now_);
    }
    item.spreader.tick(now_);
    if (item.spreader.is_watcher())
    {
        item.way.run(now_);
    }
    item.watcher.tick(now_, item.spreader.is_watcher());
}

auto control_fleet::change() -> void
{
    policy_fields fields;
    fields.queue_limit = static_cast<std::uint32_t>(1 + stored_.version % 1000);
    const auto version = stored_.version + 1;
    const auto edited = apply_edit(
        stored_, edit_preset{"ordinary", {{service_name_of(0), fields}}, {}},
        {make_change_id(version, 7), "operator", now_});
    // The bench asked for an edit that is not allowed.
    BRIARDRUM_INVARIANT(edited.ok());
    store_transaction writes;
    for (const auto& item : edited->changes)
    {
        writes.writes.push_back(
            {store_layout{}.key_of(item.key), item.value, item.removed, 0});
    }
    data_.commit(writes);
    stored_ = edited->after;
}

auto control_fleet::is_in_force() const -> bool
{
    return std::all_of(daemons_.begin(), daemons_.end(),
                       [&](const auto& item)
                       {
                           return item->spreader.version() == stored_.version;
                       });
}

auto control_fleet::now() const -> millis
{
    return now_;
}

auto control_fleet::counts() const -> control_counts
{
    auto out = counts_;
    out.store_calls = store_calls() - store_calls_before_;
    return out;
}

auto control_fleet::reset_counts() -> void
{
    counts_ = {};
    store_calls_before_ = store_calls();
}

auto control_fleet::send(const endpoint& to, const control_message& message)
    -> void
{
    auto bytes = encode_control(message);
    auto& count = is_configuration(message) ? counts_.configuration_bytes
                                            : counts_.membership_bytes;
    count += bytes.size() + frame_header_bytes;
    queue_.emplace_back(to, std::move(bytes));
}

auto control_fleet::deliver() -> void
{
    const auto due = queue_.size();
    for (std::size_t n = 0; n < due; ++n)
    {
        const auto [to, bytes] = std::move(queue_.front());
        queue_.pop_front();
        const auto message = decode_control(bytes);
        // The codec does not read what it wrote.
        BRIARDRUM_INVARIANT(message.ok());
        auto& target = *daemons_.at(to.address - control_address_of(0).address);
        if (!target.spreader.on_control(now_, *message))
        {
            target.view.on_control(now_, *message);
        }
    }
}

auto control_fleet::store_calls() const -> std::uint64_t
{
    std::uint64_t out = 0;
    for (const auto& item : daemons_)
    {
        out += item->way.calls;
    }
    return out;
}

} // namespace briardrum::bench
