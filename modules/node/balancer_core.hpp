#ifndef BRIARDRUM_NODE_BALANCER_CORE_HPP
#define BRIARDRUM_NODE_BALANCER_CORE_HPP

#include "config/config.hpp"
#include "core/core.hpp"
#include "membership/membership.hpp"
#include "wire/wire.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace briardrum
{

// A caller's datagram as received from the network fabric.
struct caller_packet
{
    endpoint caller;
    endpoint service_address;
    byte_view datagram;
};

struct balancer_hooks
{
    // Sends an envelope to an agent's data address.
    std::function<void(const endpoint&, const envelope&)> send_envelope;
    // Sends a datagram to a caller through the fabric.
    std::function<void(const caller_packet&)> send_to_caller;
    std::function<void(const endpoint&, const control_message&)> send_control;
    event_sink events;
};

// Logic of a balancer. It keeps no flow state that it cannot afford to lose,
// and it only drops datagrams, never refuses them.
//
// In each pass, call on_packet() for every datagram waiting on the socket, then
// serve(), so that a flood is queued completely before any of it is forwarded.
// on_envelope() forwards answers immediately. Call tick() every 100 ms.
class balancer_core
{
public:
    balancer_core(const member_record& self,
                  std::vector<endpoint> start_addresses,
                  membership_settings settings, balancer_hooks hooks,
                  std::uint64_t seed);
    ~balancer_core();
    balancer_core(const balancer_core&) = delete;
    auto operator=(const balancer_core&) -> balancer_core& = delete;

    // Adopts a configuration if its version is larger; returns false otherwise.
    auto adopt(millis now, std::shared_ptr<const configuration> next) -> bool;

    // Queues a caller's datagram for its service, or drops it.
    auto on_packet(millis now, const caller_packet& packet) -> void;

    // Forwards up to budget queued datagrams by share and urgency; returns the
    // number sent.
    auto serve(millis now, std::size_t budget) -> std::size_t;

    // Forwards an answer to its caller.
    auto on_envelope(millis now, const envelope& message) -> void;

    // Handles membership messages; other kinds are ignored.
    auto on_control(millis now, const control_message& message) -> void;

    auto tick(millis now) -> void;

    // Announces that this balancer is leaving; it continues to forward.
    auto leave(millis now) -> void;

    auto members() -> member_view&;
    auto has_configuration() const -> bool;

    // Calls visit(name, service name or "", value) for each counter, for
    // metrics.
    auto
    visit_counters(const std::function<void(std::string_view, std::string_view,
                                            std::uint64_t)>& visit) const
        -> void;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace briardrum

#endif
