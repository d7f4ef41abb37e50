#ifndef BRIARDRUM_ROUTING_QUEUES_PACKET_SCHEDULER_HPP
#define BRIARDRUM_ROUTING_QUEUES_PACKET_SCHEDULER_HPP

#include "config/model/preset.hpp"
#include "routing/queues/service_queue.hpp"

#include <array>
#include <functional>
#include <span>
#include <vector>

namespace briardrum
{

// Bounds for the queues of a scheduler.
struct scheduler_limits
{
    // Maximum number of waiting packets over all services.
    std::size_t packets_max = 8192;
    // Maximum size of one service's waiting packets, in bytes.
    std::size_t service_bytes_max = std::size_t{8} << 20U;
    // Maximum waiting time. A packet that waited longer is dropped, because its
    // caller has retransmitted or soon will.
    millis wait_max = milliseconds(500);
};

// Why a queued packet was dropped.
enum class drop_reason : std::uint8_t
{
    // The queue was full and its service had used up its quota, or the service
    // would have exceeded service_bytes_max.
    over_share,
    // It waited longer than wait_max.
    too_late,
    // Its service was removed.
    removed,
};

// Index of a service in a scheduler.
using service_index = std::uint32_t;

// Scheduling parameters of a service.
struct service_share
{
    std::uint32_t share_percent = 0;
    urgency level = urgency::normal;
};

struct scheduler_hooks
{
    // Forwards a packet, which is valid during the call.
    std::function<void(service_index, const queued_packet&)> send;
    std::function<void(service_index, drop_reason)> dropped;
};

// The queues of all services, served by deficit round robin. Each service is
// guaranteed its share of the packets sent and a quota of the queue; unused
// shares go to the most urgent services first. When the queue is full, the
// oldest packet of the service furthest over its quota is dropped, or of the
// pushing service if that one has used up its own quota.
//
// Configure the services with set_services(), push() each packet that arrives,
// then call serve().
class packet_scheduler
{
public:
    packet_scheduler(const scheduler_limits& limits, scheduler_hooks hooks);

    // Sets the services with indices 0 to n-1. Packets of a service that keeps
    // its index stay queued.
    auto set_services(std::span<const service_share> shares) -> void;

    // Drops all packets of an index that is reused for another service.
    auto clear(service_index service) -> void;

    // Queues a copy of a packet. The datagram must not exceed
    // coap_datagram_max.
    auto push(millis now, service_index service, const endpoint& caller,
              const endpoint& service_address, byte_view datagram) -> void;

    // Sends up to budget packets and returns how many were sent.
    auto serve(millis now, std::size_t budget) -> std::size_t;

    auto waiting() const -> std::size_t;
    auto waiting(service_index service) const -> std::size_t;

private:
    struct service_entry
    {
        service_queue queue;
        urgency level = urgency::normal;
        // Credit that the service earns for each packet of a round's budget,
        // and credit that it has not used yet, both in millionths of a packet.
        std::uint64_t share = 0;
        std::uint64_t credit = 0;
        // Number of packets that may wait whatever the load of other services.
        std::size_t quota = 0;
        // Index in over_quota_.
        std::size_t over_quota_index = 0;
        bool active = false;
        bool over_quota = false;
    };

    auto activate(service_index service) -> void;
    auto acquire_packet(service_index service) -> packet_index;
    auto update_over_quota(service_index service) -> void;
    auto most_over_quota() const -> service_index;
    auto drop_oldest(service_index service, drop_reason reason) -> void;
    auto drop_expired(millis now, service_entry& item, service_index service)
        -> void;
    auto serve_guaranteed(millis now, std::size_t budget) -> std::size_t;
    auto serve_surplus(millis now, std::size_t budget) -> std::size_t;
    auto send_from(service_index service) -> void;
    auto deactivate_empty() -> void;

    scheduler_limits limits_;
    scheduler_hooks hooks_;
    packet_pool pool_;
    std::vector<service_entry> services_;
    // Services with packets, by urgency. A service whose queue becomes empty
    // stays in the list until deactivate_empty().
    std::array<std::vector<service_index>, urgency_count> active_;
    // Services with more packets than their quota.
    std::vector<service_index> over_quota_;
    // Where the next round starts, so that small budgets do not starve any
    // service.
    std::array<std::size_t, urgency_count> round_start_{};
    std::size_t waiting_ = 0;
};

} // namespace briardrum

#endif
