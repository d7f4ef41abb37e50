#include "routing/queues/packet_pool.hpp"

namespace briardrum
{

packet_pool::packet_pool(std::size_t packets) : packets_(packets)
{
    for (std::size_t n = 0; n + 1 < packets; ++n)
    {
        packets_[n].next = static_cast<packet_index>(n + 1);
    }
}

auto packet_pool::allocate() -> packet_index
{
    const auto index = first_free_;
    if (index != no_packet)
    {
        first_free_ = packets_[index].next;
        packets_[index].next = no_packet;
    }
    return index;
}

auto packet_pool::release(packet_index index) -> void
{
    packets_[index].next = first_free_;
    first_free_ = index;
}

auto packet_pool::size() const -> std::size_t
{
    return packets_.size();
}

} // namespace briardrum
