#ifndef BRIARDRUM_STAND_INS_FABRIC_FABRIC_HPP
#define BRIARDRUM_STAND_INS_FABRIC_FABRIC_HPP

#include "core/core.hpp"
#include "stand_ins/fabric/balancer_list.hpp"
#include "stand_ins/fabric/fabric_settings.hpp"
#include "stand_ins/fabric/udp_socket.hpp"

#include <asio.hpp>
#include <memory>
#include <string>
#include <unordered_map>

namespace briardrum
{

// What the fabric saw, in datagrams.
struct fabric_counts
{
    std::uint64_t from_callers = 0;
    std::uint64_t to_balancers = 0;
    std::uint64_t from_balancers = 0;
    std::uint64_t to_callers = 0;
    // Lost on purpose.
    std::uint64_t dropped = 0;
    std::uint64_t no_balancer = 0;
    std::uint64_t malformed = 0;
    std::uint64_t unknown_service = 0;
};

// One line of key=value pairs.
auto to_string(const fabric_counts& counts) -> std::string;

// Hands each caller's datagram to a balancer chosen at random, with a PROXY
// header, and each balancer's datagram to the caller that its PROXY header
// names, from the service address that it names. Runs on the io_context that
// it is given.
class fabric
{
public:
    fabric(asio::io_context& io, const fabric_settings& settings);

    auto start() -> void;
    auto counts() const -> const fabric_counts&;

private:
    auto from_caller(const endpoint& service_address, const endpoint& caller,
                     byte_view datagram) -> void;
    auto from_balancer(byte_view bytes) -> void;
    auto is_lost() -> bool;
    auto watch_balancers() -> void;

    balancer_list balancers_;
    double drop_chance_;
    random_source random_;
    fabric_counts counts_;
    asio::steady_timer timer_;
    udp_socket back_;
    std::unordered_map<endpoint, std::unique_ptr<udp_socket>> services_;
    byte_buffer buf_;
};

} // namespace briardrum

#endif
