#include "routing/queues/packet_scheduler.hpp"

#include <algorithm>
#include <cstring>
#include <utility>

namespace briardrum
{

namespace
{

// Credit needed to send one packet.
constexpr std::uint64_t packet_credit = 1000000;

constexpr std::uint32_t percent_max = 100;

// Bounds the cost of choosing the service to drop from.
constexpr std::size_t compared_services_max = 16;

} // namespace

packet_scheduler::packet_scheduler(const scheduler_limits& limits,
                                   scheduler_hooks hooks)
    : limits_(limits), hooks_(std::move(hooks)), pool_(limits.packets_max)
{
}

auto packet_scheduler::set_services(std::span<const service_share> shares)
    -> void
{
    for (auto service = shares.size(); service < services_.size(); ++service)
    {
        clear(static_cast<service_index>(service));
    }
    services_.resize(shares.size());
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
        auto& item = services_[n];
        item.level = shares[n].level;
        item.share = shares[n].share_percent * packet_credit / total;
        item.quota = std::max<std::size_t>(
            1, limits_.packets_max * shares[n].share_percent / total);
        item.active = false;
        update_over_quota(static_cast<service_index>(n));
        if (!item.queue.empty())
        {
            activate(static_cast<service_index>(n));
        }
    }
}

auto packet_scheduler::clear(service_index service) -> void
{
    while (!services_[service].queue.empty())
    {
        drop_oldest(service, drop_reason::removed);
    }
}

auto packet_scheduler::activate(service_index service) -> void
{
    auto& item = services_[service];
    if (!item.active)
    {
        item.active = true;
        active_[static_cast<std::size_t>(item.level)].push_back(service);
    }
}

auto packet_scheduler::push(millis now, service_index service,
                            const endpoint& caller,
                            const endpoint& service_address, byte_view datagram)
    -> void
{
    // The caller passed a datagram that is too long or an unknown service.
    BRIARDRUM_INVARIANT(datagram.size() <= coap_datagram_max &&
                        service < services_.size());
    auto& item = services_[service];
    while (item.queue.bytes() + datagram.size() > limits_.service_bytes_max &&
           !item.queue.empty())
    {
        drop_oldest(service, drop_reason::over_share);
    }
    const auto index = acquire_packet(service);
    auto& packet = pool_.at(index);
    packet.caller = caller;
    packet.service_address = service_address;
    packet.queued_at = now;
    packet.size = static_cast<std::uint16_t>(datagram.size());
    std::memcpy(packet.bytes.data(), datagram.data(), datagram.size());
    item.queue.push(pool_, index);
    ++waiting_;
    update_over_quota(service);
    activate(service);
}

auto packet_scheduler::acquire_packet(service_index service) -> packet_index
{
    const auto free = pool_.allocate();
    if (free != no_packet)
    {
        return free;
    }
    const auto& item = services_[service];
    const auto drop_own = item.queue.count() >= item.quota;
    drop_oldest(drop_own ? service : most_over_quota(),
                drop_reason::over_share);
    return pool_.allocate();
}

// Updates over_quota_ after the length of a queue has changed.
auto packet_scheduler::update_over_quota(service_index service) -> void
{
    auto& item = services_[service];
    const auto over_quota = item.queue.count() > item.quota;
    if (over_quota == item.over_quota)
    {
        return;
    }
    item.over_quota = over_quota;
    if (over_quota)
    {
        item.over_quota_index = over_quota_.size();
        over_quota_.push_back(service);
        return;
    }
    over_quota_[item.over_quota_index] = over_quota_.back();
    services_[over_quota_.back()].over_quota_index = item.over_quota_index;
    over_quota_.pop_back();
}

// Called when the pool is exhausted and one service is below its quota. Then
// another one is over its quota, unless there are more services than packets;
// in that case the first service with packets is chosen.
auto packet_scheduler::most_over_quota() const -> service_index
{
    service_index worst = 0;
    double worst_ratio = 0;
    const auto n = std::min(over_quota_.size(), compared_services_max);
    for (std::size_t i = 0; i < n; ++i)
    {
        const auto& item = services_[over_quota_[i]];
        const auto ratio = static_cast<double>(item.queue.count()) /
                           static_cast<double>(item.quota);
        if (ratio > worst_ratio)
        {
            worst = over_quota_[i];
            worst_ratio = ratio;
        }
    }
    while (services_[worst].queue.empty())
    {
        ++worst;
    }
    return worst;
}

auto packet_scheduler::drop_oldest(service_index service, drop_reason reason)
    -> void
{
    pool_.release(services_[service].queue.pop(pool_));
    --waiting_;
    update_over_quota(service);
    if (hooks_.dropped)
    {
        hooks_.dropped(service, reason);
    }
}

auto packet_scheduler::drop_expired(millis now, service_entry& item,
                                    service_index service) -> void
{
    while (!item.queue.empty() &&
           now - pool_.at(item.queue.oldest()).queued_at > limits_.wait_max)
    {
        drop_oldest(service, drop_reason::too_late);
    }
}

auto packet_scheduler::serve(millis now, std::size_t budget) -> std::size_t
{
    if (waiting_ == 0)
    {
        return 0;
    }
    auto sent = serve_guaranteed(now, budget);
    sent += serve_surplus(now, budget - sent);
    deactivate_empty();
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
            const auto service = list[(round_start_[level] + i) % list.size()];
            auto& item = services_[service];
            drop_expired(now, item, service);
            // Unused credit carries over, up to that of one round or one
            // packet, whichever is more.
            const auto earned = item.share * budget;
            item.credit =
                std::min(item.credit, std::max(earned, packet_credit));
            item.credit += earned;
            while (sent < budget && item.credit >= packet_credit &&
                   !item.queue.empty())
            {
                item.credit -= packet_credit;
                send_from(service);
                ++sent;
            }
        }
    }
    return sent;
}

auto packet_scheduler::serve_surplus(millis now, std::size_t budget)
    -> std::size_t
{
    std::size_t sent = 0;
    for (std::size_t level = 0; level < urgency_count; ++level)
    {
        const auto& list = active_[level];
        std::size_t idle = 0;
        while (sent < budget && idle < list.size())
        {
            const auto service = list[round_start_[level] % list.size()];
            round_start_[level] = (round_start_[level] + 1) % list.size();
            auto& item = services_[service];
            drop_expired(now, item, service);
            if (item.queue.empty())
            {
                ++idle;
                continue;
            }
            idle = 0;
            send_from(service);
            ++sent;
        }
    }
    return sent;
}

auto packet_scheduler::send_from(service_index service) -> void
{
    const auto index = services_[service].queue.pop(pool_);
    --waiting_;
    update_over_quota(service);
    hooks_.send(service, pool_.at(index));
    pool_.release(index);
}

// Removes services with empty queues from the rounds. Their credit is reset.
auto packet_scheduler::deactivate_empty() -> void
{
    for (auto& list : active_)
    {
        std::erase_if(list,
                      [&](service_index service)
                      {
                          auto& item = services_[service];
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

auto packet_scheduler::waiting(service_index service) const -> std::size_t
{
    return services_[service].queue.count();
}

} // namespace briardrum
