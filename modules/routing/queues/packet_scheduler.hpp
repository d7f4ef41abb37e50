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

// Bounds of all queues of a scheduler.
struct scheduler_limits
{
    // Packets that wait at one time, over all services.
    std::size_t packets_max = 8192;
    // Bytes of one service that wait.
    std::size_t service_bytes_max = std::size_t{8} << 20U;
    // A packet that waited longer is dropped: its caller has long
    // retransmitted or soon will.
    millis wait_max = milliseconds(500);
};

// Why a packet was dropped while it was queued.
enum class drop_reason : std::uint8_t
{
    // Its service used more room than its share while room was short.
    over_share,
    // It waited too long.
    too_late,
    // Its service was removed.
    removed,
};

// Place of a service in a scheduler.
using service_index = std::uint32_t;

// What a scheduler does for one service.
struct service_share
{
    std::uint32_t share_percent = 0;
    urgency level = urgency::normal;
};

struct scheduler_hooks
{
    // Forward this packet; it is valid during the call.
    std::function<void(service_index, const queued_packet&)> send;
    std::function<void(service_index, drop_reason)> dropped;
};

// Queues of all services, served by deficit round robin. Each service is
// guaranteed its share of what is served and of the room to wait in; what
// others leave unused goes to the most urgent services first. When room is
// short, the packet that waits longest in the service furthest over its share
// is dropped.
//
// Configure the services with set_services(), push() every packet that came,
// then serve().
class packet_scheduler
{
public:
    packet_scheduler(const scheduler_limits& limits, scheduler_hooks hooks);

    // Places 0 to n-1. What waits in a place that stays keeps waiting.
    auto set_services(std::span<const service_share> shares) -> void;

    // Empties a place whose service is another one from now on.
    auto clear(service_index service) -> void;

    // Copies a packet in; a datagram must not be over coap_datagram_max.
    auto push(millis now, service_index service, const endpoint& caller,
              const endpoint& service_address, byte_view datagram) -> void;

    // Sends up to budget packets; gives how many.
    auto serve(millis now, std::size_t budget) -> std::size_t;

    auto waiting() const -> std::size_t;
    auto waiting(service_index service) const -> std::size_t;

private:
    struct service_entry
    {
        service_queue queue;
        urgency level = urgency::normal;
        // Millionths of a packet that the service may send for each packet
        // served, and what it has not used yet.
        std::uint64_t share = 0;
        std::uint64_t credit = 0;
        // Packets that may wait whatever other services do.
        std::size_t quota = 0;
        // Place in the list of services over their room.
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
    // Services with packets, by urgency; a place stays until compact().
    std::array<std::vector<service_index>, urgency_count> active_;
    // Services with more packets than their room.
    std::vector<service_index> over_quota_;
    // Where the next round starts, so that a small budget starves nobody.
    std::array<std::size_t, urgency_count> round_start_{};
    std::size_t waiting_ = 0;
};

} // namespace briardrum

#endif
