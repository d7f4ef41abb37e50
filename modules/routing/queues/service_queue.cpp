#include "routing/queues/service_queue.hpp"

namespace briardrum
{

auto service_queue::push(packet_pool& pool, packet_index index) -> void
{
    if (tail_ == no_packet)
    {
        head_ = index;
    }
    else
    {
        pool.at(tail_).next = index;
    }
    tail_ = index;
    ++count_;
    bytes_ += pool.at(index).size;
}

auto service_queue::pop(packet_pool& pool) -> packet_index
{
    // The caller popped from an empty queue.
    BRIARDRUM_INVARIANT(head_ != no_packet);
    const auto index = head_;
    auto& packet = pool.at(index);
    head_ = packet.next;
    if (head_ == no_packet)
    {
        tail_ = no_packet;
    }
    packet.next = no_packet;
    --count_;
    bytes_ -= packet.size;
    return index;
}

} // namespace briardrum
