#include "routing/queues/packet_scheduler.hpp"

#include <algorithm>
#include <cstring>
#include <utility>

namespace briardrum
{

namespace
{

// Credit that sends one packet.
constexpr std::uint64_t packet_credit = 1000000;

constexpr std::uint32_t percent_max = 100;

// Services over their share that are compared when room is short.
constexpr std::size_t compared_max = 16;

} // namespace

packet_scheduler::packet_scheduler(const scheduler_limits& limits,
                                   scheduler_hooks hooks)
    : limits_(limits), hooks_(std::move(hooks)), pool_(limits.packets_max)
{
}

auto packet_scheduler::set_services(std::span<const service_share> shares)
    -> void
{
    for (auto place = shares.size(); place < lanes_.size(); ++place)
    {
        clear(static_cast<service_place>(place));
    }
    lanes_.resize(shares.size());
    std::uint64_t total = 0;
    for (const auto& share : shares)
    {
        total += share.share_percent;
    }
    total = std::max<std::uint64_t>(total, percent_max);
    for (auto& list : active_)
    {
        list.clear();
    }
    for (std::size_t n = 0; n < shares.size(); ++n)
    {
        auto& item = lanes_[n];
        item.level = shares[n].level;
        item.share = shares[n].share_percent * packet_credit / total;
        item.room = std::max<std::size_t>(
            1, limits_.packets_max * shares[n].share_percent / total);
        item.active = false;
        note_count(static_cast<service_place>(n));
        if (!item.queue.empty())
        {
            activate(static_cast<service_place>(n));
        }
    }
}

auto packet_scheduler::clear(service_place place) -> void
{
    while (!lanes_[place].queue.empty())
    {
        drop_oldest(place, drop_reason::removed);
    }
}

auto packet_scheduler::activate(service_place place) -> void
{
    auto& item = lanes_[place];
    if (!item.active)
    {
        item.active = true;
        active_[static_cast<std::size_t>(item.level)].push_back(place);
    }
}

auto packet_scheduler::push(millis now, service_place place,
                            const endpoint& caller,
                            const endpoint& service_address, byte_view datagram)
    -> void
{
    // The caller did not check the size or named no service.
    BRIARDRUM_INVARIANT(datagram.size() <= coap_datagram_max &&
                        place < lanes_.size());
    auto& item = lanes_[place];
    while (item.queue.bytes() + datagram.size() > limits_.service_bytes_max &&
           !item.queue.empty())
    {
        drop_oldest(place, drop_reason::over_share);
    }
    const auto index = make_room(place);
    auto& packet = pool_.at(index);
    packet.caller = caller;
    packet.service_address = service_address;
    packet.queued_at = now;
    packet.size = static_cast<std::uint16_t>(datagram.size());
    std::memcpy(packet.bytes.data(), datagram.data(), datagram.size());
    item.queue.push(pool_, index);
    ++waiting_;
    note_count(place);
    activate(place);
}

auto packet_scheduler::make_room(service_place place) -> packet_index
{
    const auto free = pool_.take();
    if (free != no_packet)
    {
        return free;
    }
    const auto& item = lanes_[place];
    const auto own_turn = item.queue.count() >= item.room;
    drop_oldest(own_turn ? place : furthest_over_share(),
                drop_reason::over_share);
    return pool_.take();
}

// Keeps the list of services over their room, after a queue has changed.
auto packet_scheduler::note_count(service_place place) -> void
{
    auto& item = lanes_[place];
    const auto over = item.queue.count() > item.room;
    if (over == item.over)
    {
        return;
    }
    item.over = over;
    if (over)
    {
        item.over_place = over_.size();
        over_.push_back(place);
        return;
    }
    over_[item.over_place] = over_.back();
    lanes_[over_.back()].over_place = item.over_place;
    over_.pop_back();
}

// Called when all room is taken and one service has less than its own, so
// that another has more, unless there are more services than packets.
auto packet_scheduler::furthest_over_share() const -> service_place
{
    service_place worst = 0;
    double worst_ratio = 0;
    const auto n = std::min(over_.size(), compared_max);
    for (std::size_t i = 0; i < n; ++i)
    {
        const auto& item = lanes_[over_[i]];
        const auto ratio = static_cast<double>(item.queue.count()) /
                           static_cast<double>(item.room);
        if (ratio > worst_ratio)
        {
            worst = over_[i];
            worst_ratio = ratio;
        }
    }
    while (lanes_[worst].queue.empty())
    {
        ++worst;
    }
    return worst;
}

auto packet_scheduler::drop_oldest(service_place place, drop_reason reason)
    -> void
{
    pool_.give_back(lanes_[place].queue.pop(pool_));
    --waiting_;
    note_count(place);
    if (hooks_.dropped)
    {
        hooks_.dropped(place, reason);
    }
}

auto packet_scheduler::drop_late(millis now, lane& item, service_place place)
    -> void
{
    while (!item.queue.empty() &&
           now - pool_.at(item.queue.oldest()).queued_at > limits_.wait_max)
    {
        drop_oldest(place, drop_reason::too_late);
    }
}

auto packet_scheduler::serve(millis now, std::size_t budget) -> std::size_t
{
    if (waiting_ == 0)
    {
        return 0;
    }
    auto sent = serve_guaranteed(now, budget);
    sent += serve_lent(now, budget - sent);
    compact();
    return sent;
}

auto packet_scheduler::serve_guaranteed(millis now, std::size_t budget)
    -> std::size_t
{
    std::size_t sent = 0;
    for (std::size_t level = 0; level < urgency_count; ++level)
    {
        const auto& list = active_[level];
        for (std::size_t i = 0; i < list.size(); ++i)
        {
            const auto place = list[(next_[level] + i) % list.size()];
            auto& item = lanes_[place];
            drop_late(now, item, place);
            // What was not used in a round is kept for one more.
            const auto earned = item.share * budget;
            item.credit =
                std::min(item.credit, std::max(earned, packet_credit));
            item.credit += earned;
            while (sent < budget && item.credit >= packet_credit &&
                   !item.queue.empty())
            {
                item.credit -= packet_credit;
                send_from(place);
                ++sent;
            }
        }
    }
    return sent;
}

auto packet_scheduler::serve_lent(millis now, std::size_t budget) -> std::size_t
{
    std::size_t sent = 0;
    for (std::size_t level = 0; level < urgency_count; ++level)
    {
        const auto& list = active_[level];
        std::size_t idle = 0;
        while (sent < budget && idle < list.size())
        {
            const auto place = list[next_[level] % list.size()];
            next_[level] = (next_[level] + 1) % list.size();
            auto& item = lanes_[place];
            drop_late(now, item, place);
            if (item.queue.empty())
            {
                ++idle;
                continue;
            }
            idle = 0;
            send_from(place);
            ++sent;
        }
    }
    return sent;
}

auto packet_scheduler::send_from(service_place place) -> void
{
    const auto index = lanes_[place].queue.pop(pool_);
    --waiting_;
    note_count(place);
    hooks_.send(place, pool_.at(index));
    pool_.give_back(index);
}

// Takes services whose queues ran empty out of the rounds; what they did not
// use is not kept.
auto packet_scheduler::compact() -> void
{
    for (auto& list : active_)
    {
        std::erase_if(list,
                      [&](service_place place)
                      {
                          auto& item = lanes_[place];
                          if (!item.queue.empty())
                          {
                              return false;
                          }
                          item.active = false;
                          item.credit = 0;
                          return true;
                      });
    }
}

auto packet_scheduler::waiting() const -> std::size_t
{
    return waiting_;
}

auto packet_scheduler::waiting(service_place place) const -> std::size_t
{
    return lanes_[place].queue.count();
}

} // namespace briardrum
