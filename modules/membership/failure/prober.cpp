#include "membership/failure/prober.hpp"

#include <algorithm>
#include <utility>

namespace briardrum
{

namespace
{

// Limit of concurrent probes for other members; further requests are ignored.
constexpr std::size_t relayed_probes_max = 64;

} // namespace

prober::prober(member_id self, millis timeout, prober_hooks hooks)
    : self_(self), timeout_(timeout), hooks_(std::move(hooks))
{
}

auto prober::start(millis now, member_id subject) -> void
{
    const auto sequence = next_sequence_++;
    pending_.emplace(sequence, pending_probe{subject, now + timeout_, false});
    hooks_.send(subject, probe_message{sequence, subject});
}

auto prober::is_probing(member_id subject) const -> bool
{
    return std::any_of(pending_.begin(), pending_.end(),
                       [&](const auto& item)
                       {
                           return item.second.subject == subject;
                       });
}

auto prober::on_probe(millis now, member_id from, const probe_message& message)
    -> void
{
    if (message.subject == self_)
    {
        hooks_.send(from, probe_ack_message{message.sequence, self_});
        return;
    }
    if (relayed_.size() >= relayed_probes_max)
    {
        return;
    }
    const auto sequence = next_sequence_++;
    if (hooks_.send(message.subject, probe_message{sequence, message.subject}))
    {
        relayed_.emplace(sequence,
                         relayed_probe{message.subject, from, message.sequence,
                                       now + timeout_});
    }
}

auto prober::on_ack(millis, const probe_ack_message& message) -> void
{
    const auto own = pending_.find(message.sequence);
    if (own != pending_.end() && own->second.subject == message.subject)
    {
        pending_.erase(own);
        return;
    }
    const auto it = relayed_.find(message.sequence);
    if (it != relayed_.end() && it->second.subject == message.subject)
    {
        hooks_.send(it->second.requester,
                    probe_ack_message{it->second.requester_sequence,
                                      it->second.subject});
        relayed_.erase(it);
    }
}

auto prober::tick(millis now) -> void
{
    std::erase_if(relayed_,
                  [&](const auto& item)
                  {
                      return item.second.due <= now;
                  });
    std::vector<member_id> silent;
    for (auto it = pending_.begin(); it != pending_.end();)
    {
        auto& [sequence, probe] = *it;
        if (probe.due > now)
        {
            ++it;
        }
        else if (!probe.indirect)
        {
            probe_indirectly(now, sequence, probe);
            ++it;
        }
        else
        {
            silent.push_back(probe.subject);
            it = pending_.erase(it);
        }
    }
    for (const auto id : silent)
    {
        hooks_.failed(id);
    }
}

auto prober::probe_indirectly(millis now, std::uint64_t sequence,
                              pending_probe& probe) -> void
{
    probe.indirect = true;
    probe.due = now + timeout_ * 2;
    for (const auto helper : hooks_.choose_helpers(probe.subject))
    {
        hooks_.send(helper, probe_message{sequence, probe.subject});
    }
}

auto prober::restart_timeouts(millis now) -> void
{
    for (auto& [sequence, probe] : pending_)
    {
        probe.indirect = false;
        probe.due = now + timeout_;
        hooks_.send(probe.subject, probe_message{sequence, probe.subject});
    }
}

} // namespace briardrum
