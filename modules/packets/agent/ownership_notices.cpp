#include "packets/agent/ownership_notices.hpp"

namespace briardrum
{

ownership_notices::ownership_notices(agent_state& state) : state_(state) {}

auto ownership_notices::announce(const flow_key& flow, owned_flow& row) -> void
{
    // The flow may be open at another server.
    if (is_undecided_hedge(row))
    {
        return;
    }
    const auto order = state_.order_of(flow);
    const auto self = state_.members.self().id;
    packet_label label;
    label.kind = label_kind::owned;
    label.service = state_.tag;
    label.best_position = row.opening.label.kind == label_kind::hedge
                              ? packet_label::hedged_mark
                              : 0;
    const auto notify = [&](std::size_t position, member_id& notified)
    {
        const auto id = position < order.size() ? order[position] : 0;
        if (id == notified)
        {
            return;
        }
        notified = id;
        const auto* record =
            id == 0 || id == self ? nullptr : state_.members.find(id);
        if (record != nullptr)
        {
            state_.hooks.send_notice(record->data_address, row.caller,
                                     row.route, label);
        }
    };
    for (std::size_t position = 0; position < row.notified.size(); ++position)
    {
        notify(position, row.notified[position]);
    }
}

auto ownership_notices::reannounce() -> void
{
    if (state_.members.epoch() == announced_epoch_)
    {
        return;
    }
    announced_epoch_ = state_.members.epoch();
    for (auto& [flow, row] : state_.flows.rows())
    {
        if (row.phase != flow_phase::probing)
        {
            announce(flow, row);
        }
    }
}

auto ownership_notices::report_hedge(const owned_flow& row) -> void
{
    packet_label label;
    label.kind = label_kind::hint;
    label.best_position = packet_label::hedged_mark;
    label.owner_address = state_.members.self().data_address.address;
    state_.hooks.send_notice(row.hedged_by, row.caller, row.route, label);
}

auto ownership_notices::answer(const endpoint& from, const flow_packet& packet,
                               label_kind kind) -> void
{
    packet_label label;
    label.kind = kind;
    label.service = state_.tag;
    state_.hooks.send_notice(from, packet.source, packet.destination, label);
}

} // namespace briardrum
