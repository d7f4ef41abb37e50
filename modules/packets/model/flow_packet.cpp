#include "packets/model/flow_packet.hpp"

#include <xxhash.h>

namespace briardrum
{

namespace
{

auto route_number(const endpoint& route) -> service_id
{
    const std::uint64_t word =
        (std::uint64_t{route.address} << 16U) | route.port;
    return XXH32(&word, sizeof(word), 0);
}

} // namespace

auto flow_from_caller(const flow_packet& packet) -> flow_key
{
    return {packet.source, route_number(packet.destination)};
}

auto flow_from_server(const flow_packet& packet) -> flow_key
{
    return {packet.destination, route_number(packet.source)};
}

} // namespace briardrum
