#include "node/agent/flow_mover.hpp"

#include <utility>
#include <vector>

namespace briardrum
{

namespace
{

// Limits of hand-overs started per call and of concurrent ones.
constexpr std::size_t moves_per_call = 64;
constexpr std::size_t concurrent_moves_max = 512;

// How long an accepted transfer is remembered, so that a repeated hand-over
// message is recognised.
constexpr millis accepted_transfer_lifetime = minutes(2);

} // namespace

flow_mover::flow_mover(agent_context& context, transfer_table& transfers,
                       redirect_announcer& announcer, request_path& requests)
    : context_(context), transfers_(transfers), announcer_(announcer),
      requests_(requests)
{
}

auto flow_mover::evacuate_flows(millis now) -> void
{
    std::vector<flow_key> ready;
    for (const auto& [key, row] : context_.flows.rows())
    {
        const auto enough = ready.size() >= moves_per_call ||
                            moving_ + ready.size() >= concurrent_moves_max;
        if (enough)
        {
            break;
        }
        if (requests_.can_move(now, key))
        {
            ready.push_back(key);
        }
    }
    for (const auto& key : ready)
    {
        move(now, key);
    }
}

auto flow_mover::move(millis now, const flow_key& flow) -> bool
{
    return move(now, flow, choose_receiver(flow, 0));
}

auto flow_mover::move(millis now, const flow_key& flow, member_id to) -> bool
{
    if (to == 0 || !requests_.can_move(now, flow))
    {
        return false;
    }
    auto& row = *context_.flows.find(flow);
    row.handing_over = true;
    ++moving_;
    flow_record record;
    record.key = flow;
    record.generation = row.generation + 1;
    record.owners = row.owners;
    record.owners.push_back({context_.members.self().id,
                             context_.initial_incarnation, row.generation});
    record.balancer = row.balancer;
    requests_.extract_flow(now, flow, record);
    hand_over_message message;
    message.flow = std::move(record);
    transfers_.start(now, to, std::move(message));
    return true;
}

auto flow_mover::on_hand_over(millis now, member_id from,
                              const hand_over_message& message) -> bool
{
    const transfer_id id{from, message.sequence};
    if (accepted_transfers_.contains(id))
    {
        return true;
    }
    const auto* own = context_.own_service();
    const auto* known = context_.flows.find(message.flow.key);
    const auto accept = own != nullptr && own->id == message.flow.key.service &&
                        context_.accepts_new_flows() &&
                        (known == nullptr || !known->handing_over);
    if (!accept)
    {
        return false;
    }
    accepted_transfers_.emplace(id, now);
    adopt(now, message.flow);
    return true;
}

auto flow_mover::on_ended(millis now, member_id to,
                          const hand_over_message& message,
                          transfer_outcome outcome) -> void
{
    if (outcome == transfer_outcome::accepted)
    {
        finish(now, message.flow, to);
        return;
    }
    auto record = message.flow;
    if (outcome == transfer_outcome::receiver_lost)
    {
        ++record.generation;
        record.may_have_run = true;
        record.owners.clear();
    }
    send(now, std::move(record), to);
}

auto flow_mover::tick(millis now) -> void
{
    if (now < next_expiry_)
    {
        return;
    }
    next_expiry_ = now + seconds(1);
    std::erase_if(accepted_transfers_,
                  [&](const auto& item)
                  {
                      return now - item.second > accepted_transfer_lifetime;
                  });
}

auto flow_mover::moving_count() const -> std::size_t
{
    return moving_;
}

auto flow_mover::choose_receiver(const flow_key& flow, member_id except) const
    -> member_id
{
    const auto self = context_.members.self().id;
    const auto order = rendezvous_order(flow, context_.candidates.serving());
    for (const auto id : order)
    {
        if (id != self && id != except)
        {
            return id;
        }
    }
    return 0;
}

auto flow_mover::send(millis now, flow_record record, member_id except) -> void
{
    const auto to = choose_receiver(record.key, except);
    if (to != 0)
    {
        hand_over_message message;
        message.flow = std::move(record);
        transfers_.start(now, to, std::move(message));
        return;
    }
    // No other agent can take the flow, so this one resumes serving it.
    cancel_move(now, record);
}

auto flow_mover::finish(millis now, const flow_record& record, member_id to)
    -> void
{
    // The caller finishes a hand-over whose flow was erased while it was
    // frozen.
    BRIARDRUM_INVARIANT(context_.flows.find(record.key) != nullptr);
    --moving_;
    context_.flows.erase(record.key);
    context_.counters.add(agent_counter::flows_handed_over);
    context_.trace("flow_handed_over", record.key, "generation",
                   record.generation);
    const auto* receiver = context_.members.find(to);
    const auto life = receiver == nullptr ? 0 : receiver->incarnation;
    context_.redirects.set(now, {record.key, to, life, record.generation});
    context_.hooks.close_session(record.key);
    context_.held.release(record.key,
                          [&](const envelope& message)
                          {
                              context_.forward_to_agent(message, to, false);
                          });
}

auto flow_mover::cancel_move(millis now, const flow_record& record) -> void
{
    auto& row = *context_.flows.find(record.key);
    --moving_;
    row.handing_over = false;
    row.owners = record.owners;
    row.generation = record.generation;
    requests_.import_flow(now, record);
    context_.held.release(record.key,
                          [&](const envelope& message)
                          {
                              const auto view = read_coap(message.datagram);
                              requests_.on_request(now, record.key, message,
                                                   *view);
                          });
}

auto flow_mover::adopt(millis now, const flow_record& record) -> void
{
    context_.counters.add(agent_counter::flows_received);
    context_.trace("flow_received", record.key, "generation",
                   record.generation);
    context_.redirects.erase(record.key);
    const auto known = context_.flows.find(record.key) != nullptr;
    auto& row = context_.flows.insert(record.key);
    row.last_used = now;
    if (!known)
    {
        row.generation = record.generation;
        row.owners = record.owners;
        row.balancer = record.balancer;
    }
    // A flow that was placed here in the meantime keeps its own list of owners:
    // a request that the earlier owner's cookies would admit may already have
    // been answered with "outcome unknown".
    requests_.import_flow(now, record);
    announcer_.on_flow_owned(now, record.key);
}

} // namespace briardrum
