#include "node/agent/redirect_announcer.hpp"

#include <algorithm>
#include <utility>

namespace briardrum
{

namespace
{

// Maximum redirects in one message; each takes about 40 bytes.
constexpr std::size_t redirects_per_message = 500;

} // namespace

redirect_announcer::redirect_announcer(agent_context& context,
                                       transfer_table& transfers)
    : context_(context), transfers_(transfers)
{
}

auto redirect_announcer::on_flow_owned(millis, const flow_key& flow) -> void
{
    auto* row = context_.flows.find(flow);
    // The caller announces a flow that this agent does not own.
    BRIARDRUM_INVARIANT(row != nullptr);
    announce(flow, *row);
}

auto redirect_announcer::on_candidates_changed(millis) -> void
{
    const auto life = context_.members.self().incarnation;
    if (life != last_incarnation_)
    {
        last_incarnation_ = life;
        for (auto& [key, row] : context_.flows.rows())
        {
            row.announced_to.clear();
        }
    }
    for (auto& [key, row] : context_.flows.rows())
    {
        announce(key, row);
    }
    for (const auto& [key, row] : context_.redirects.rows().rows())
    {
        announce_redirect({key, row.owner, row.owner_life, row.generation});
    }
}

auto redirect_announcer::on_redirects(millis now, member_id from,
                                      const redirects_message& message) -> void
{
    for (const auto& it : message.redirects)
    {
        const auto own = context_.flows.find(it.key) != nullptr ||
                         it.owner == context_.members.self().id;
        if (!own)
        {
            context_.trace("redirect_learnt", it.key, "owner", it.owner);
            context_.redirects.set(now, it);
        }
    }
    // The sender is a peer even if gossip has not announced it yet.
    known_peers_.insert(from);
    if (message.last)
    {
        completed_peers_.insert(from);
        known_peers_.insert(message.peers.begin(), message.peers.end());
    }
}

auto redirect_announcer::start_joining(millis now) -> void
{
    joining_since_ = now;
    completed_peers_.clear();
    known_peers_.clear();
}

auto redirect_announcer::has_joined(millis now) const -> bool
{
    const auto waited = now - joining_since_;
    if (waited < join_duration_min)
    {
        return false;
    }
    if (waited >= join_timeout)
    {
        return true;
    }
    if (!context_.members.has_synchronised())
    {
        return false;
    }
    const auto awaited = [this](member_id peer)
    {
        return is_awaiting(peer);
    };
    const auto known =
        context_.members.agents_of(context_.members.self().service_name);
    return std::none_of(known.begin(), known.end(), awaited) &&
           std::none_of(known_peers_.begin(), known_peers_.end(), awaited);
}

auto redirect_announcer::tick(millis now) -> void
{
    send_batches(now);
    complete_joiners(now);
}

auto redirect_announcer::announce(const flow_key& flow, flow_row& row) -> void
{
    const auto& self = context_.members.self();
    for (const auto id :
         rendezvous_order(flow, context_.candidates.with_joining()))
    {
        if (id == self.id)
        {
            break;
        }
        const auto* record = context_.members.find(id);
        const std::pair<member_id, incarnation_number> recipient{
            id, record->incarnation};
        const auto known = std::find(row.announced_to.begin(),
                                     row.announced_to.end(), recipient);
        if (known == row.announced_to.end())
        {
            row.announced_to.push_back(recipient);
            queue_redirect(id,
                           {flow, self.id, self.incarnation, row.generation});
        }
        if (context_.candidates.is_serving(id))
        {
            break;
        }
    }
}

auto redirect_announcer::announce_redirect(const redirect_record& record)
    -> void
{
    const auto& self = context_.members.self();
    const auto order =
        rendezvous_order(record.key, context_.candidates.with_joining());
    for (const auto id : order)
    {
        const auto stop = id == self.id || context_.candidates.is_serving(id);
        if (stop)
        {
            break;
        }
        const auto* life = informed_joiners_.find(id);
        const auto informed =
            life != nullptr && *life == context_.members.find(id)->incarnation;
        if (!informed && id != record.owner)
        {
            queue_redirect(id, record);
        }
    }
}

auto redirect_announcer::queue_redirect(member_id to,
                                        const redirect_record& record) -> void
{
    batches_.insert(to).push_back(record);
}

auto redirect_announcer::send_batches(millis now) -> void
{
    for (auto& [to, records] : batches_.rows())
    {
        for (std::size_t n = 0; n < records.size(); n += redirects_per_message)
        {
            const auto end =
                std::min(records.size(), n + redirects_per_message);
            redirects_message part;
            part.redirects.assign(records.begin() + static_cast<long>(n),
                                  records.begin() + static_cast<long>(end));
            transfers_.start(now, to, std::move(part));
        }
    }
    batches_ = {};
}

auto redirect_announcer::is_awaiting(member_id peer) const -> bool
{
    const auto* record = context_.members.find(peer);
    const auto gone = record != nullptr && record->state >= member_state::left;
    return peer != context_.members.self().id && !gone &&
           !completed_peers_.contains(peer);
}

auto redirect_announcer::complete_joiners(millis now) -> void
{
    const auto& self = context_.members.self();
    const auto peers = context_.members.agents_of(self.service_name);
    for (const auto id : peers)
    {
        const auto* record = context_.members.find(id);
        const auto joining =
            id != self.id && record->state == member_state::joining;
        if (!joining || transfers_.pending_to(id) != 0)
        {
            continue;
        }
        auto* life = informed_joiners_.find(id);
        if (life != nullptr && *life == record->incarnation)
        {
            continue;
        }
        informed_joiners_.insert(id) = record->incarnation;
        redirects_message done;
        done.last = true;
        done.peers.assign(peers.begin(), peers.end());
        transfers_.start(now, id, std::move(done));
    }
}

} // namespace briardrum
