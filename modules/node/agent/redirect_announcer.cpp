#include "node/agent/redirect_announcer.hpp"

#include <algorithm>
#include <utility>

namespace briardrum
{

namespace
{

// Redirects in one message: about 40 bytes each.
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
    // The caller announces a flow that it does not own.
    BRIARDRUM_INVARIANT(row != nullptr);
    announce(flow, *row);
}

auto redirect_announcer::on_candidates_changed(millis) -> void
{
    const auto life = context_.members.self().life;
    if (life != last_life_)
    {
        last_life_ = life;
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
    // It is a peer, whether gossip has told of it yet or not.
    named_.insert(from);
    if (message.last)
    {
        heard_.insert(from);
        named_.insert(message.peers.begin(), message.peers.end());
    }
}

auto redirect_announcer::start_joining(millis now) -> void
{
    joining_since_ = now;
    heard_.clear();
    named_.clear();
}

auto redirect_announcer::has_joined(millis now) const -> bool
{
    const auto waited = now - joining_since_;
    if (waited < join_minimum)
    {
        return false;
    }
    if (waited >= join_bound)
    {
        return true;
    }
    if (!context_.members.has_synchronised())
    {
        return false;
    }
    const auto unheard = [this](member_id peer)
    {
        return must_hear(peer);
    };
    const auto known =
        context_.members.agents_of(context_.members.self().service_name);
    return std::none_of(known.begin(), known.end(), unheard) &&
           std::none_of(named_.begin(), named_.end(), unheard);
}

auto redirect_announcer::tick(millis now) -> void
{
    send_batches(now);
    finish_joiners(now);
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
        const std::pair<member_id, incarnation> told{id, record->life};
        const auto known =
            std::find(row.announced_to.begin(), row.announced_to.end(), told);
        if (known == row.announced_to.end())
        {
            row.announced_to.push_back(told);
            tell(id, {flow, self.id, self.life, row.generation});
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
        const auto* life = finished_.find(id);
        const auto told =
            life != nullptr && *life == context_.members.find(id)->life;
        if (!told && id != record.owner)
        {
            tell(id, record);
        }
    }
}

auto redirect_announcer::tell(member_id to, const redirect_record& record)
    -> void
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

auto redirect_announcer::must_hear(member_id peer) const -> bool
{
    const auto* record = context_.members.find(peer);
    const auto gone = record != nullptr && record->state >= member_state::left;
    return peer != context_.members.self().id && !gone &&
           !heard_.contains(peer);
}

auto redirect_announcer::finish_joiners(millis now) -> void
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
        auto* life = finished_.find(id);
        if (life != nullptr && *life == record->life)
        {
            continue;
        }
        finished_.insert(id) = record->life;
        redirects_message done;
        done.last = true;
        done.peers.assign(peers.begin(), peers.end());
        transfers_.start(now, id, std::move(done));
    }
}

} // namespace briardrum
