#ifndef BRIARDRUM_ROUTING_QUEUES_SERVICE_QUEUE_HPP
#define BRIARDRUM_ROUTING_QUEUES_SERVICE_QUEUE_HPP

#include "routing/queues/packet_pool.hpp"

namespace briardrum
{

// The packets of one service in order of arrival, as a linked list through the
// pool that owns them. The queue itself allocates no memory.
class service_queue
{
public:
    auto push(packet_pool& pool, packet_index index) -> void;

    // Removes and returns the oldest packet. The queue must not be empty.
    auto pop(packet_pool& pool) -> packet_index;

    auto oldest() const -> packet_index
    {
        return head_;
    }

    auto count() const -> std::size_t
    {
        return count_;
    }

    auto bytes() const -> std::size_t
    {
        return bytes_;
    }

    auto empty() const -> bool
    {
        return count_ == 0;
    }

private:
    packet_index head_ = no_packet;
    packet_index tail_ = no_packet;
    std::size_t count_ = 0;
    std::size_t bytes_ = 0;
};

} // namespace briardrum

#endif
