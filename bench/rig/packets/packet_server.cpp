#include "bench/rig/packets/packet_server.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace briardrum::rig
{

namespace
{

constexpr std::uint16_t answer_bytes = 1000;
// Positions of two servers, or of two lives of one, are this far apart.
constexpr std::uint32_t sequence_step = 1'000'003;
constexpr std::uint32_t lives_max = 64;

} // namespace

packet_server::packet_server(event_queue& events, server_model model,
                             std::uint32_t slots, std::uint32_t number,
                             packet_server_hooks hooks)
    : events_(events), model_(model), slots_(slots), number_(number),
      hooks_(std::move(hooks))
{
    start();
}

auto packet_server::start() -> void
{
    ++life_;
    up_ = true;
    draining_ = false;
    sequence_ = 0;
    started_at_ = events_.now();
    flows_ = {};
    queue_.clear();
    running_ = 0;
    openings_.clear();
}

auto packet_server::lose() -> void
{
    up_ = false;
    ++life_;
}

auto packet_server::set_slowness(double factor) -> void
{
    slowness_ = factor;
}

auto packet_server::set_frozen(bool frozen) -> void
{
    frozen_ = frozen;
    if (frozen_)
    {
        return;
    }
    for (const auto& it : std::exchange(completed_, {}))
    {
        finish(it, life_);
    }
    for (const auto& it : std::exchange(received_, {}))
    {
        on_packet(it);
    }
}

auto packet_server::is_frozen() const -> bool
{
    return frozen_;
}

auto packet_server::drain() -> void
{
    draining_ = true;
}

auto packet_server::is_up() const -> bool
{
    return up_;
}

auto packet_server::holds(const flow_key& flow) const -> bool
{
    return up_ && flows_.find(flow) != nullptr;
}

auto packet_server::runs() const -> std::uint64_t
{
    return runs_;
}

auto packet_server::slots() const -> std::uint32_t
{
    return slots_;
}

auto packet_server::openings() const -> const std::vector<millis>&
{
    return openings_;
}

auto packet_server::is_cold() const -> bool
{
    return events_.now() - started_at_ < model_.cold_time;
}

auto packet_server::next_heartbeat() -> server_heartbeat
{
    server_heartbeat out;
    out.server_id = "server-" + std::to_string(life_);
    out.slots = slots_;
    out.draining = draining_;
    const auto left = started_at_ + model_.cold_time - events_.now();
    out.warm_up_left = std::max(left, millis{});
    out.sequence = ++sequence_;
    out.started_at = started_at_;
    return out;
}

auto packet_server::on_packet(const flow_packet& packet) -> void
{
    if (!up_)
    {
        return;
    }
    if (frozen_)
    {
        received_.push_back(packet);
        return;
    }
    const auto flow = flow_from_caller(packet);
    if (packet.opens)
    {
        openings_.push_back(events_.now());
        const auto life = static_cast<std::uint32_t>(life_ % lives_max);
        const auto sequence = (number_ * lives_max + life) * sequence_step;
        flows_.insert(flow, {sequence, false});
        answer(packet, true, 0);
        return;
    }
    auto* held = flows_.find(flow);
    if (held == nullptr || packet.acknowledged != held->sequence + 1)
    {
        auto back = packet;
        back.returned = true;
        back.label = {};
        hooks_.send(back);
        return;
    }
    if (packet.payload_bytes == 0)
    {
        return;
    }
    if (std::exchange(held->asked, true))
    {
        return;
    }
    if (running_ < slots_)
    {
        run(packet);
    }
    else if (queue_.size() < model_.queue_max)
    {
        queue_.push_back(packet);
    }
    else
    {
        hooks_.refused(flow);
        answer(packet, false, answer_bytes);
    }
}

auto packet_server::answer(const flow_packet& packet, bool opens,
                           std::uint16_t payload) -> void
{
    flow_packet out;
    out.source = packet.destination;
    out.destination = packet.source;
    out.opens = opens;
    out.acknowledges = true;
    out.payload_bytes = payload;
    out.closes = payload > 0;
    const auto* held = flows_.find(flow_from_caller(packet));
    out.sequence = held == nullptr ? 0 : held->sequence;
    hooks_.send(out);
}

auto packet_server::run(const flow_packet& request) -> void
{
    ++running_;
    ++runs_;
    const auto flow = flow_from_caller(request);
    hooks_.started(flow);
    const auto factor = slowness_ * (is_cold() ? model_.cold_factor : 1);
    const auto work = static_cast<double>(hooks_.work_of(flow).count) * factor;
    const auto life = life_;
    events_.after(milliseconds(std::lround(work)),
                  [this, request, life]
                  {
                      finish(request, life);
                  });
}

auto packet_server::finish(const flow_packet& request, std::uint64_t life)
    -> void
{
    if (life != life_)
    {
        return;
    }
    if (frozen_)
    {
        completed_.push_back(request);
        return;
    }
    --running_;
    answer(request, false, answer_bytes);
    flows_.erase(flow_from_caller(request));
    if (!queue_.empty())
    {
        const auto next = queue_.front();
        queue_.pop_front();
        run(next);
    }
}

} // namespace briardrum::rig
