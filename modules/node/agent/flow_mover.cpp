#include "node/agent/flow_mover.hpp"

#include <utility>
#include <vector>

namespace briardrum
{

namespace
{

// Flows whose hand-over one call starts, and how many may be under way.
constexpr std::size_t moves_per_call = 64;
constexpr std::size_t moves_under_way_max = 512;

// A repeated hand-over is recognised for this long.
constexpr millis acceptance_memory = minutes(2);

} // namespace

flow_mover::flow_mover(agent_context& context, transfer_table& transfers,
                       redirect_announcer& announcer, request_path& requests)
    : context_(context), transfers_(transfers), announcer_(announcer),
      requests_(requests)
{
}

auto flow_mover::move_flows_away(millis now) -> void
{
    std::vector<flow_key> ready;
    for (const auto& [key, row] : context_.flows.rows())
    {
        const auto enough = ready.size() >= moves_per_call ||
                            moving_ + ready.size() >= moves_under_way_max;
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
    record.owners.push_back(
        {context_.members.self().id, context_.boot_life, row.generation});
    record.balancer = row.balancer;
    requests_.take(now, flow, record);
    hand_over_message message;
    message.flow = std::move(record);
    transfers_.start(now, to, std::move(message));
    return true;
}

auto flow_mover::on_hand_over(millis now, member_id from,
                              const hand_over_message& message) -> bool
{
    const transfer_name name{from, message.sequence};
    if (accepted_.contains(name))
    {
        return true;
    }
    const auto* own = context_.own_service();
    const auto* known = context_.flows.find(message.flow.key);
    const auto taken = own != nullptr && own->id == message.flow.key.service &&
                       context_.takes_new_flows() &&
                       (known == nullptr || !known->handing_over);
    if (!taken)
    {
        return false;
    }
    accepted_.emplace(name, now);
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
    std::erase_if(accepted_,
                  [&](const auto& item)
                  {
                      return now - item.second > acceptance_memory;
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
    // Nobody else is there: the flow is better off here than nowhere.
    take_back(now, record);
}

auto flow_mover::finish(millis now, const flow_record& record, member_id to)
    -> void
{
    // The flow was changed while it was frozen.
    BRIARDRUM_INVARIANT(context_.flows.find(record.key) != nullptr);
    --moving_;
    context_.flows.erase(record.key);
    context_.counters.add(agent_counter::flows_handed_over);
    context_.trace("flow_handed_over", record.key, "generation",
                   record.generation);
    const auto* receiver = context_.members.find(to);
    const auto life = receiver == nullptr ? 0 : receiver->life;
    context_.redirects.set(now, {record.key, to, life, record.generation});
    context_.hooks.close_session(record.key);
    context_.held.release(record.key,
                          [&](const envelope& message)
                          {
                              context_.pass_on(message, to, false);
                          });
}

auto flow_mover::take_back(millis now, const flow_record& record) -> void
{
    auto& row = *context_.flows.find(record.key);
    --moving_;
    row.handing_over = false;
    row.owners = record.owners;
    row.generation = record.generation;
    requests_.install(now, record);
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
    // A flow that was placed anew here keeps its own owners: what the earlier
    // owner's cookies would admit may have been answered "outcome unknown".
    requests_.install(now, record);
    announcer_.on_flow_owned(now, record.key);
}

} // namespace briardrum
