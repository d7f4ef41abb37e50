#include "packets/agent/lost_flow_detector.hpp"

#include <algorithm>
#include <utility>

namespace briardrum
{

namespace
{

constexpr std::int64_t millis_per_second = 1000;

} // namespace

lost_flow_detector::lost_flow_detector(const member_view& members,
                                       millis flow_lifetime, millis started_at,
                                       lost_flow_hooks hooks)
    : members_(members), hooks_(std::move(hooks)),
      census_(members, flow_lifetime, started_at)
{
}

auto lost_flow_detector::suspect(millis now, const flow_packet& packet) -> void
{
    if (packet.payload_bytes == 0 || packet.opens || packet.resets)
    {
        return;
    }
    const auto flow = flow_from_caller(packet);
    auto* it = rows_.find(flow);
    if (it == nullptr)
    {
        if (rows_.size() >= flows_max)
        {
            return;
        }
        it = &rows_.insert(flow);
        it->query = next_query_;
        it->since = now;
    }
    it->packet = packet;
    it->packet.datagram = {};
    it->bytes = to_buffer(packet.datagram);
    it->deadline = packet.label.deadline_ms == 0
                       ? deadline_if_unknown
                       : milliseconds(packet.label.deadline_ms);
}

auto lost_flow_detector::is_recovering(millis now) const -> bool
{
    return last_lost_at_.has_value() && now - *last_lost_at_ < recovery_time;
}

auto lost_flow_detector::forget(const flow_key& flow) -> void
{
    rows_.erase(flow);
}

auto lost_flow_detector::on_denied(const flow_key& flow, member_id by) -> void
{
    auto* it = rows_.find(flow);
    if (it == nullptr || has_denied(*it, by))
    {
        return;
    }
    auto& all = it->denied_by;
    all.insert(std::lower_bound(all.begin(), all.end(), by), by);
    has_news_ = true;
}

auto lost_flow_detector::on_registered(millis now,
                                       std::span<const listed_agent> agents)
    -> void
{
    census_.on_registered(now, agents);
}

auto lost_flow_detector::on_departed(millis now, const member_record& record)
    -> void
{
    census_.on_departed(now, record);
}

auto lost_flow_detector::on_reply(millis now, member_id from,
                                  const flow_reply_message& reply) -> void
{
    census_.refresh(now);
    for (const auto& flow : reply.absent)
    {
        on_denied(flow, from);
    }
    for (const auto& flow : reply.held)
    {
        auto* it = rows_.find(flow);
        if (it == nullptr)
        {
            continue;
        }
        const auto found = std::move(*it);
        rows_.erase(flow);
        auto packet = found.packet;
        packet.datagram = found.bytes;
        hooks_.found(now, packet, from);
    }
    census_.on_reply(from, reply);
    has_news_ = true;
    show_packets(now, from, reply.sequence);
}

// A member that has replied to a query without denying a flow is not certain.
auto lost_flow_detector::show_packets(millis now, member_id to,
                                      std::uint64_t query) -> void
{
    for (auto& [flow, it] : rows_.rows())
    {
        const auto shown = std::find(it.shown_to.begin(), it.shown_to.end(),
                                     to) != it.shown_to.end();
        if (it.query > query || shown || has_denied(it, to))
        {
            continue;
        }
        auto packet = it.packet;
        packet.datagram = it.bytes;
        if (hooks_.show_packet(now, packet, to))
        {
            it.shown_to.push_back(to);
        }
    }
}

auto lost_flow_detector::tick(millis now) -> void
{
    discard_after_pause(now);
    census_.refresh(now);
    expire(now);
    if (rows_.size() == 0)
    {
        return;
    }
    // The time for which departed agents have been out of reach counts, too.
    if (has_news_ || now >= next_report_)
    {
        next_report_ = now + report_interval;
        report_lost(now);
    }
    send_queries(now);
}

// Replies that were received before a pause say nothing about the members as
// they are now.
auto lost_flow_detector::discard_after_pause(millis now) -> void
{
    const auto paused = now - std::exchange(last_tick_, now) > pause_max;
    if (!paused)
    {
        return;
    }
    census_.clear();
    for (auto& [flow, it] : rows_.rows())
    {
        it.query = next_query_;
    }
}

auto lost_flow_detector::expire(millis now) -> void
{
    rows_.erase_if(
        [&](const flow_key& flow, const row& it)
        {
            const auto expired = now - it.since >= retention;
            if (expired)
            {
                hooks_.undecided({flow, it.denied_by.size(),
                                  census_.missing_replies(it.query),
                                  census_.departed_count(now)});
            }
            return expired;
        });
}

auto lost_flow_detector::send_queries(millis now) -> void
{
    if (now < next_query_at_)
    {
        return;
    }
    auto sent = false;
    for (const auto id : members_.live())
    {
        const auto* record = members_.find(id);
        if (record == nullptr || id == members_.self().id)
        {
            continue;
        }
        auto flows = flows_for(now, *record);
        if (!flows.empty())
        {
            sent = true;
            hooks_.send_query(*record, {next_query_, std::move(flows),
                                        members_.members_digest()});
        }
    }
    if (sent)
    {
        ++next_query_;
        next_query_at_ = now + query_interval();
    }
}

auto lost_flow_detector::query_interval() const -> millis
{
    const auto members = static_cast<std::int64_t>(members_.live().size());
    return std::max(
        query_interval_min,
        milliseconds(members * millis_per_second / messages_per_second));
}

// Returns the flows about which this member has yet to reply.
auto lost_flow_detector::flows_for(millis now,
                                   const member_record& record) const
    -> std::vector<flow_key>
{
    std::vector<flow_key> out;
    const auto recovering = is_recovering(now);
    for (const auto& [flow, it] : rows_.rows())
    {
        const auto must_deny =
            agent_census::may_hold_flows(record) && !has_denied(it, record.id);
        const auto due = recovering || now - it.since >= query_delay;
        if (due && (must_deny || !census_.agrees(record.id, it.query)) &&
            out.size() < flows_per_query)
        {
            out.push_back(flow);
        }
    }
    return out;
}

auto lost_flow_detector::report_lost(millis now) -> void
{
    has_news_ = false;
    const auto complete_for = census_.complete_for(now);
    const auto unreachable_for = census_.unreachable_for(now);
    std::vector<flow_key> lost;
    for (const auto& [flow, it] : rows_.rows())
    {
        if (it.query <= complete_for && it.deadline <= unreachable_for &&
            is_denied_by_all(it))
        {
            lost.push_back(flow);
        }
    }
    for (const auto& flow : lost)
    {
        const auto* it = rows_.find(flow);
        const lost_flow value{it->packet.source, it->packet.destination,
                              it->packet.acknowledged, now - it->since,
                              it->denied_by.size()};
        rows_.erase(flow);
        last_lost_at_ = now;
        hooks_.lost(now, value);
    }
}

auto lost_flow_detector::has_denied(const row& it, member_id id) -> bool
{
    return std::binary_search(it.denied_by.begin(), it.denied_by.end(), id);
}

auto lost_flow_detector::is_denied_by_all(const row& it) const -> bool
{
    const auto live = members_.live();
    return std::all_of(live.begin(), live.end(),
                       [&](member_id id)
                       {
                           const auto* record = members_.find(id);
                           return record == nullptr ||
                                  !agent_census::may_hold_flows(*record) ||
                                  has_denied(it, id);
                       });
}

} // namespace briardrum
