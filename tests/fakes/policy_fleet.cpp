#include "tests/fakes/policy_fleet.hpp"

#include <algorithm>

namespace briardrum::tests
{

namespace
{

constexpr millis time_step = milliseconds(10);
constexpr std::int64_t steps_per_tick = 5;

} // namespace

policy_fleet::policy_fleet(std::uint64_t seed, std::uint32_t count,
                           network_faults faults)
    : random_(seed), faults_(faults), nodes_(count)
{
    gossip_message all;
    for (std::uint32_t n = 0; n < count; ++n)
    {
        all.records.push_back(make_agent(n + 1, "orders"));
        index_of_[all.records.back().control_address] = n;
    }
    for (std::uint32_t n = 0; n < count; ++n)
    {
        nodes_[n].view = std::make_unique<member_view>(
            all.records[n], std::vector<endpoint>{}, membership_settings{},
            membership_hooks{}, random_.bits());
        nodes_[n].view->on_control(now_, {1, 1, all});
        restart(n);
    }
}

auto policy_fleet::restart(std::size_t index) -> void
{
    auto& item = nodes_[index];
    item.last = {};
    policy_spreader_hooks hooks;
    hooks.send = [this, index](const endpoint& to,
                               const placement_policy_message& message)
    {
        send(index, to, message);
    };
    hooks.on_policy = [this, index](millis, const placement_policy& next)
    {
        auto& last = nodes_[index].last;
        set_back += next.supersedes(last) ? 0 : 1;
        last = next;
    };
    item.spreader = std::make_unique<policy_spreader>(
        *item.view, policy_spreader_settings{}, std::move(hooks),
        random_.bits());
}

auto policy_fleet::send(std::size_t from, const endpoint& to,
                        const placement_policy_message& message) -> void
{
    ++messages;
    if (random_.chance(faults_.loss))
    {
        return;
    }
    const auto jitter = milliseconds(static_cast<std::int64_t>(
        random_.below(static_cast<std::uint64_t>(faults_.jitter.count) + 1)));
    queue_.emplace(now_ + faults_.delay + jitter,
                   queued_message{from, to, message});
}

auto policy_fleet::step() -> void
{
    now_ += time_step;
    while (!queue_.empty() && queue_.begin()->first <= now_)
    {
        const auto item = queue_.begin()->second;
        queue_.erase(queue_.begin());
        const auto& sender = nodes_[item.from].view->self();
        nodes_[index_of_.at(item.to)].spreader->on_message(
            now_, sender.id, sender.control_address, item.message);
    }
    // Processes tick at different times.
    const auto turn = now_.count / time_step.count;
    for (std::size_t n = 0; n < nodes_.size(); ++n)
    {
        if ((turn + static_cast<std::int64_t>(n)) % steps_per_tick == 0)
        {
            nodes_[n].spreader->tick(now_);
        }
    }
}

auto policy_fleet::run(millis span) -> void
{
    const auto end = now_ + span;
    while (now_ < end)
    {
        step();
    }
}

auto policy_fleet::run_until_known(const std::vector<std::string>& evacuated,
                                   millis limit) -> std::optional<millis>
{
    const auto start = now_;
    const auto knows = [&](const node& it)
    {
        return it.spreader->is_known() &&
               it.spreader->policy().evacuated == evacuated;
    };
    while (!std::all_of(nodes_.begin(), nodes_.end(), knows))
    {
        if (now_ - start >= limit)
        {
            return std::nullopt;
        }
        step();
    }
    return now_ - start;
}

auto policy_fleet::spreader(std::size_t index) -> policy_spreader&
{
    return *nodes_[index].spreader;
}

auto policy_fleet::now() const -> millis
{
    return now_;
}

} // namespace briardrum::tests
