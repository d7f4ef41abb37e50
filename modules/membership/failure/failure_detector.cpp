#include "membership/failure/failure_detector.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace briardrum
{

namespace
{

// Upper bound of the time after isolation during which no suspect is declared
// dead; a member of a large fleet cannot probe every other one before that.
constexpr millis recovery_time_max = seconds(10);

// Under overload, requests to many members go unanswered. Ten extra probes a
// second are negligible even on a VM's slowest link.
constexpr millis extra_probe_interval = milliseconds(100);

// One in this many probes goes to another data centre.
constexpr std::uint64_t remote_probe_every = 4;

// Above this number of members, gossip takes longer to reach a suspect and to
// bring its refutation back, so the suspicion timeout grows.
constexpr double members_at_base_timeout = 100;

} // namespace

failure_detector::failure_detector(const member_table& members, member_id self,
                                   const membership_settings& settings,
                                   failure_hooks hooks, std::uint64_t seed)
    : members_(members), self_(self), settings_(settings),
      hooks_(std::move(hooks)), random_(seed),
      prober_(self, settings.probe_timeout,
              {hooks_.send,
               [this](member_id subject)
               {
                   return choose_helpers(subject);
               },
               [this](member_id subject)
               {
                   if (!isolated_)
                   {
                       hooks_.declare(now_, subject, member_state::suspect);
                   }
               }})
{
    next_probe_ = milliseconds(static_cast<std::int64_t>(random_.below(
        static_cast<std::uint64_t>(settings.probe_interval.count))));
}

auto failure_detector::on_probe(millis now, member_id from,
                                const probe_message& message) -> void
{
    prober_.on_probe(now, from, message);
}

auto failure_detector::on_ack(millis now, const probe_ack_message& message)
    -> void
{
    prober_.on_ack(now, message);
}

auto failure_detector::on_changed(millis now, const member_record& record)
    -> void
{
    if (record.state == member_state::suspect && record.id != self_)
    {
        suspects_.try_emplace(record.id, now + suspicion_timeout());
    }
    else
    {
        suspects_.erase(record.id);
    }
}

auto failure_detector::probe_now(millis now, member_id id) -> void
{
    if (now < next_extra_probe_ || !may_probe(id) || prober_.is_probing(id))
    {
        return;
    }
    next_extra_probe_ = now + extra_probe_interval;
    prober_.start(now, id);
}

auto failure_detector::tick(millis now, bool isolated) -> void
{
    now_ = now;
    isolated_ = isolated;
    prober_.tick(now);
    if (next_probe_ <= now)
    {
        probe_next(now);
        next_probe_ = std::max(next_probe_ + settings_.probe_interval, now);
    }
    if (isolated)
    {
        recovering_until_ = now + recovery_time();
    }
    if (now < recovering_until_)
    {
        extend_suspicions(now);
    }
    else
    {
        expire_suspicions(now);
    }
}

auto failure_detector::recovery_time() const -> millis
{
    // Enough for one probe round over every member that may have been suspected
    // during the isolation.
    const auto live = static_cast<std::int64_t>(members_.live().size());
    return std::min(settings_.probe_interval * live, recovery_time_max);
}

auto failure_detector::restart_timeouts(millis now) -> void
{
    prober_.restart_timeouts(now);
    extend_suspicions(now);
}

auto failure_detector::extend_suspicions(millis now) -> void
{
    for (auto& [id, due] : suspects_)
    {
        due = now + suspicion_timeout();
    }
}

auto failure_detector::expire_suspicions(millis now) -> void
{
    std::vector<member_id> expired;
    for (const auto& [id, due] : suspects_)
    {
        if (due <= now)
        {
            expired.push_back(id);
        }
    }
    for (const auto id : expired)
    {
        hooks_.declare(now, id, member_state::dead);
    }
}

auto failure_detector::suspicion_timeout() const -> millis
{
    const auto live = static_cast<double>(members_.live().size());
    const auto factor = std::max(1.0, std::log10(live + 1) /
                                          std::log10(members_at_base_timeout));
    return milliseconds(static_cast<std::int64_t>(
        static_cast<double>(settings_.suspicion_timeout.count) * factor));
}

auto failure_detector::probe_next(millis now) -> void
{
    ++probe_count_;
    if (const auto subject = next_subject(); subject != 0)
    {
        prober_.start(now, subject);
    }
}

auto failure_detector::next_subject() -> member_id
{
    const auto usable = [this](member_id id)
    {
        return may_probe(id);
    };
    const auto local = [&]
    {
        const auto refill = [this]() -> std::vector<member_id>
        {
            const auto ids = members_.live_in(own_data_centre());
            return {ids.begin(), ids.end()};
        };
        return local_rotation_.next(random_, refill, usable);
    };
    const auto remote = [&]
    {
        const auto refill = [this]
        {
            return remote_members();
        };
        return remote_rotation_.next(random_, refill, usable);
    };
    const auto remote_first = probe_count_ % remote_probe_every == 0;
    const auto subject = remote_first ? remote() : local();
    if (subject != 0)
    {
        return subject;
    }
    return remote_first ? local() : remote();
}

auto failure_detector::may_probe(member_id id) const -> bool
{
    const auto* record = members_.find(id);
    return id != self_ && record != nullptr && is_live(record->state);
}

auto failure_detector::own_data_centre() const -> const std::string&
{
    return members_.find(self_)->data_centre;
}

auto failure_detector::remote_members() const -> std::vector<member_id>
{
    std::vector<member_id> ids;
    for (const auto& [name, members] : members_.data_centres())
    {
        if (name != own_data_centre())
        {
            ids.insert(ids.end(), members.begin(), members.end());
        }
    }
    return ids;
}

auto failure_detector::choose_helpers(member_id subject)
    -> std::vector<member_id>
{
    constexpr int tries_per_helper = 4;
    const auto live = members_.live();
    std::vector<member_id> chosen;
    const auto tries = settings_.indirect_probes * tries_per_helper;
    for (std::uint32_t n = 0; n < tries; ++n)
    {
        if (chosen.size() == settings_.indirect_probes)
        {
            break;
        }
        const auto id = live[random_.below(live.size())];
        const auto known = std::find(chosen.begin(), chosen.end(), id);
        const auto suspected =
            members_.find(id)->state == member_state::suspect;
        if (id != self_ && id != subject && !suspected && known == chosen.end())
        {
            chosen.push_back(id);
        }
    }
    return chosen;
}

} // namespace briardrum
