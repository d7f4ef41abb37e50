#include "bench/measures.hpp"
#include "bench/rig/event_queue.hpp"
#include "membership/membership.hpp"
#include "wire/codec/control_codec.hpp"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace briardrum::bench
{

namespace
{

constexpr std::uint32_t first_address = 0x0a000000;
constexpr millis tick_interval = milliseconds(100);
constexpr millis network_delay = milliseconds(1);
constexpr std::size_t members_per_data_centre = 500;

auto processor_seconds() -> double
{
    timespec now{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    constexpr double nanoseconds = 1e9;
    return static_cast<double>(now.tv_sec) +
           static_cast<double>(now.tv_nsec) / nanoseconds;
}

auto make_record(std::size_t n) -> member_record
{
    member_record record;
    record.name = "agent-" + std::to_string(n);
    record.id = member_id_of(record.name);
    record.incarnation = 1;
    record.version = 1;
    record.state = member_state::ready;
    record.data_centre =
        "data-centre-" + std::to_string(n / members_per_data_centre);
    const auto address = first_address + static_cast<std::uint32_t>(n);
    record.data_address = {address, 7000};
    record.control_address = {address, 7001};
    record.service_name = "service-" + std::to_string(n % 100);
    record.slots = 5;
    return record;
}

// Members that all know each other already, and what they send. Those past
// the first data centre only answer probes, to save memory; what is gossiped
// to them ends there.
class gossip_fleet
{
public:
    explicit gossip_fleet(std::size_t n)
    {
        gossip_message all;
        for (std::size_t i = 0; i < n; ++i)
        {
            all.records.push_back(make_record(i));
        }
        for (std::size_t i = 0; i < std::min(n, members_per_data_centre); ++i)
        {
            add(all.records[i]);
        }
        for (auto& it : views_)
        {
            it->on_control(queue_.now(), {1, 1, all});
        }
    }

    auto run(millis span) -> void
    {
        queue_.run_until(queue_.now() + span);
    }

    // Members that run.
    auto size() const -> std::size_t
    {
        return views_.size();
    }

    auto change(std::size_t n) -> void
    {
        const auto& view = *views_[n % views_.size()];
        const auto percent = view.self().weight_percent;
        views_[n % views_.size()]->set_weight(
            queue_.now(), static_cast<std::uint8_t>(1 + percent % 100));
    }

    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;

private:
    auto add(const member_record& record) -> void
    {
        membership_hooks hooks;
        hooks.send = [this](const endpoint& to, const control_message& message)
        {
            post(to, message);
        };
        const auto place = views_.size();
        views_.push_back(std::make_unique<member_view>(
            record, std::vector<endpoint>{}, membership_settings{},
            std::move(hooks), place + 1));
        places_[record.control_address] = place;
        const auto turn =
            static_cast<std::int64_t>(place) % tick_interval.count;
        queue_.after({turn},
                     [this, place]
                     {
                         tick(place);
                     });
    }

    auto tick(std::size_t place) -> void
    {
        views_[place]->tick(queue_.now());
        queue_.after(tick_interval,
                     [this, place]
                     {
                         tick(place);
                     });
    }

    auto post(const endpoint& to, const control_message& message) -> void
    {
        ++messages;
        bytes += encode_control(message).size();
        const auto it = places_.find(to);
        if (it != places_.end())
        {
            deliver(it->second, message);
            return;
        }
        const auto* asker = views_.front()->find(message.from);
        const auto number = to.address - first_address;
        const auto stub = make_record(number).id;
        const auto asker_place = places_.at(asker->control_address);
        if (const auto* probe = std::get_if<probe_message>(&message.body))
        {
            deliver(asker_place,
                    {stub, 1, probe_ack_message{probe->sequence, stub}});
        }
        const auto* gossip = std::get_if<gossip_message>(&message.body);
        if (gossip != nullptr && gossip->want_all)
        {
            deliver(asker_place, {stub, 1, gossip_message{}});
        }
    }

    auto deliver(std::size_t place, control_message message) -> void
    {
        queue_.after(network_delay,
                     [this, place, it = std::move(message)]
                     {
                         views_[place]->on_control(queue_.now(), it);
                     });
    }

    rig::event_queue queue_;
    std::vector<std::unique_ptr<member_view>> views_;
    std::unordered_map<endpoint, std::size_t> places_;
};

struct gossip_cost
{
    double messages = 0;
    double bytes = 0;
    double processor = 0;
};

// Cost of a span with so many changes a second in the whole fleet, per member
// and second.
auto measure_span(gossip_fleet& fleet, std::size_t per_s, int span_s)
    -> gossip_cost
{
    fleet.messages = 0;
    fleet.bytes = 0;
    const auto begin = processor_seconds();
    std::size_t next = 0;
    for (int second = 0; second < span_s; ++second)
    {
        for (std::size_t n = 0; n < per_s; ++n)
        {
            constexpr std::size_t stride = 37;
            fleet.change(next += stride);
        }
        fleet.run(seconds(1));
    }
    const auto total = static_cast<double>(fleet.size()) * span_s;
    return {static_cast<double>(fleet.messages) / total,
            static_cast<double>(fleet.bytes) / total,
            (processor_seconds() - begin) / total};
}

struct gossip_options
{
    int span_s = 10;
    std::size_t changes_per_s = 2;
    std::vector<std::size_t> members = {100, 1000, 5000};
};

auto run_gossip(const gossip_options& options) -> int
{
    std::printf("per member and second, of member views alone; processor time "
                "includes encoding\n");
    for (const auto n : options.members)
    {
        gossip_fleet fleet(n);
        // Newly learnt members are news to nobody; let that settle.
        fleet.run(seconds(15));
        const auto quiet = measure_span(fleet, 0, options.span_s);
        const auto busy =
            measure_span(fleet, options.changes_per_s, options.span_s);
        const auto changes = static_cast<double>(options.changes_per_s);
        std::printf("members=%zu quiet_messages=%.2f quiet_bytes=%.0f "
                    "quiet_cpu_us=%.1f bytes_per_change=%.0f "
                    "messages_per_change=%.2f cpu_us_per_change=%.1f\n",
                    n, quiet.messages, quiet.bytes, quiet.processor * 1e6,
                    (busy.bytes - quiet.bytes) / changes,
                    (busy.messages - quiet.messages) / changes,
                    (busy.processor - quiet.processor) * 1e6 / changes);
    }
    std::printf("measure=gossip verdict=measured\n");
    return 0;
}

} // namespace

auto add_gossip(CLI::App& app) -> measure
{
    auto options = std::make_shared<gossip_options>();
    auto* command = app.add_subcommand(
        "gossip", "Cost of membership against the number of members");
    command->add_option("--seconds", options->span_s);
    command->add_option("--changes", options->changes_per_s,
                        "Changes of records a second, over the fleet");
    command->add_option("--members", options->members);
    return {command, [options]
            {
                return run_gossip(*options);
            }};
}

} // namespace briardrum::bench
