#include "bench/rig/fault_plan.hpp"

#include <algorithm>
#include <functional>

namespace briardrum::rig
{

namespace
{

constexpr millis fault_interval_min = milliseconds(500);
constexpr std::uint64_t fault_interval_spread_ms = 5000;
// After the last fault: callers' patience and everything's time to end.
constexpr millis rest = seconds(100);
constexpr millis drain_check_interval = milliseconds(500);
// A drained agent that is not quiet by then is stopped all the same.
constexpr int drain_checks_max = 60;

// Draws faults and causes them.
class fault_driver
{
public:
    fault_driver(rig& fleet, const deployment& sizes, fault_mix mix,
                 std::uint64_t seed, std::vector<std::string>& story)
        : fleet_(fleet), random_(seed), mix_(mix), story_(story)
    {
        for (std::size_t n = 1; n <= sizes.balancers; ++n)
        {
            balancers_.push_back("b" + std::to_string(n));
        }
        for (const auto& it : sizes.services)
        {
            for (std::size_t n = 1; n <= it.servers; ++n)
            {
                agents_.push_back(it.name + "-" + std::to_string(n));
            }
        }
    }

    auto run(millis length) -> std::uint64_t
    {
        const auto end = fleet_.queue().now() + length;
        while (fleet_.queue().now() < end)
        {
            const auto spread = random_.below(fault_interval_spread_ms);
            fleet_.run_for(fault_interval_min +
                           millis{static_cast<std::int64_t>(spread)});
            cause_one();
        }
        fleet_.heal();
        return count_;
    }

private:
    auto cause_one() -> void
    {
        ++count_;
        constexpr std::uint64_t planned_kinds = 3;
        constexpr std::uint64_t all_kinds = 9;
        const auto kinds =
            mix_ == fault_mix::planned ? planned_kinds : all_kinds;
        switch (random_.below(kinds))
        {
        case 0:
            return replace_balancer();
        case 1:
            return drain_agent();
        case 2:
            return fleet_.delay_control(any(balancers_), span(3000));
        case 3:
            return kill_agent();
        case 4:
            return fleet_.replace(any(balancers_));
        case 5:
            return pause(any(agents_));
        case 6:
            return pause(any(balancers_));
        case 7:
            return restart_server();
        default:
            return cut();
        }
    }

    auto any(const std::vector<std::string>& names) -> const std::string&
    {
        return names[random_.below(names.size())];
    }

    auto span(std::uint64_t up_to_ms) -> millis
    {
        return {static_cast<std::int64_t>(random_.below(up_to_ms)) + 1};
    }

    auto note(const std::string& what, const std::string& name) -> void
    {
        story_.push_back(std::to_string(fleet_.queue().now().count) +
                         " fault " + what + " " + name);
    }

    // Announces that it leaves, goes on forwarding, and is replaced.
    auto replace_balancer() -> void
    {
        const auto name = any(balancers_);
        note("leave", name);
        fleet_.leave(name);
        fleet_.queue().after(seconds(3),
                             [this, name]
                             {
                                 fleet_.replace(name);
                             });
    }

    auto drain_agent() -> void
    {
        const auto name = any(agents_);
        if (busy(name))
        {
            return;
        }
        draining_ = name;
        note("drain", name);
        fleet_.drain(name);
        wait_quiet(name, 0);
    }

    auto wait_quiet(const std::string& name, int checks) -> void
    {
        fleet_.queue().after(drain_check_interval,
                             [this, name, checks]
                             {
                                 if (draining_ != name)
                                 {
                                     return;
                                 }
                                 if (!fleet_.is_quiet(name) &&
                                     checks < drain_checks_max)
                                 {
                                     return wait_quiet(name, checks + 1);
                                 }
                                 draining_.clear();
                                 note("replace drained", name);
                                 fleet_.replace(name);
                             });
    }

    auto kill_agent() -> void
    {
        const auto name = any(agents_);
        forget_drain(name);
        note("kill", name);
        fleet_.excuse_callers_of(name);
        fleet_.replace(name);
    }

    auto pause(const std::string& name) -> void
    {
        note("pause", name);
        fleet_.excuse_callers_of(name);
        fleet_.pause(name, span(6000));
    }

    auto restart_server() -> void
    {
        const auto name = any(agents_);
        if (busy(name))
        {
            return;
        }
        note("kill server of", name);
        fleet_.excuse_callers_of(name);
        fleet_.kill_server(name);
        fleet_.queue().after(span(4000),
                             [this, name]
                             {
                                 fleet_.restart_server(name);
                             });
    }

    auto cut() -> void
    {
        const auto from = any(random_.chance(0.5) ? agents_ : balancers_);
        const auto to = any(random_.chance(0.5) ? agents_ : balancers_);
        note("cut", from + " to " + to);
        fleet_.cut(from, to);
        fleet_.queue().after(span(8000),
                             [this]
                             {
                                 fleet_.heal();
                             });
    }

    auto busy(const std::string& name) const -> bool
    {
        return !draining_.empty() || draining_ == name;
    }

    auto forget_drain(const std::string& name) -> void
    {
        if (draining_ == name)
        {
            draining_.clear();
        }
    }

    rig& fleet_;
    random_source random_;
    fault_mix mix_;
    std::vector<std::string> balancers_;
    std::vector<std::string> agents_;
    std::string draining_;
    std::uint64_t count_ = 0;
    std::vector<std::string>& story_;
};

auto add(caller_totals& to, const caller_totals& from) -> void
{
    to.sent += from.sent;
    to.answered += from.answered;
    to.wrong += from.wrong;
    to.missing += from.missing;
    to.not_run += from.not_run;
    to.busy += from.busy;
    to.cookie_missing += from.cookie_missing;
    to.outcome_unknown += from.outcome_unknown;
    to.notifications += from.notifications;
    to.retransmissions += from.retransmissions;
    to.broken_flows += from.broken_flows;
    to.excused_flows += from.excused_flows;
    to.notes.insert(to.notes.end(), from.notes.begin(), from.notes.end());
}

} // namespace

auto run_faults(std::uint64_t seed, const deployment& sizes, fault_mix mix,
                millis length, bool with_events) -> run_result
{
    rig fleet(seed);
    run_result result;
    if (with_events)
    {
        fleet.record_events(&result.story);
    }
    build(fleet, sizes);
    auto& network = fleet.network();
    network.loss = 0.01;
    network.duplication = 0.01;
    network.control_loss = mix == fault_mix::everything ? 0.01 : 0;
    network.jitter = milliseconds(5);
    constexpr std::size_t callers_per_service = 60;
    caller_profile profile;
    profile.think_mean = seconds(1);
    for (const auto& it : sizes.services)
    {
        add_callers(fleet, it.name, callers_per_service, profile, seconds(5));
        auto streaming = profile;
        streaming.streams = true;
        add_callers(fleet, it.name, callers_per_service / 4, streaming,
                    seconds(5));
    }
    fleet.run_for(seconds(6));
    fault_driver driver(fleet, sizes, mix, seed * 7919 + 1, result.story);
    result.fault_count = driver.run(length);
    fleet.run_for(seconds(5));
    fleet.finish_callers();
    fleet.run_for(rest);
    result.faults = fleet.check();
    for (const auto& it : sizes.services)
    {
        add(result.sums, fleet.totals(it.name));
    }
    result.story.insert(result.story.end(), result.sums.notes.begin(),
                        result.sums.notes.end());
    std::stable_sort(result.story.begin(), result.story.end(),
                     [](const auto& a, const auto& b)
                     {
                         return std::stoll(a) < std::stoll(b);
                     });
    if (mix == fault_mix::planned && result.sums.broken_flows > 0)
    {
        result.faults.push_back("flows broken by planned changes: " +
                                std::to_string(result.sums.broken_flows));
    }
    return result;
}

} // namespace briardrum::rig
