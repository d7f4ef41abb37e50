#ifndef BRIARDRUM_NODE_AGENT_CORE_HPP
#define BRIARDRUM_NODE_AGENT_CORE_HPP

#include "config/config.hpp"
#include "core/core.hpp"
#include "membership/membership.hpp"
#include "requests/requests.hpp"
#include "wire/wire.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace briardrum
{

struct agent_hooks
{
    // Sends an envelope to the data address of an agent or a balancer.
    std::function<void(const endpoint&, const envelope&)> send_envelope;
    std::function<void(const endpoint&, const control_message&)> send_control;
    // Sends a CoAP datagram to the backend server on the socket that stands
    // for this flow, opening it when there is none.
    std::function<void(const flow_key&, byte_view)> send_to_server;
    // The flow needs its socket no longer.
    std::function<void(const flow_key&)> close_session;
    event_sink events;
    // A request ended, for the service-level report; may be empty.
    std::function<void(const request_outcome&)> finished;
    // A caller showed the cookie of a flow that could not go on; may be empty.
    std::function<void()> flow_broken;
};

// The decisions of the agent beside one backend server: which flows are its
// own, which requests run, what is handed over and what callers are told.
//
// on_envelope() for each datagram of a balancer or agent, on_server() for
// each datagram of the backend server, tick() every 10 ms. drain() starts a
// graceful stop; is_drained() says when it is over.
class agent_core
{
public:
    agent_core(const member_record& self, std::vector<endpoint> start_addresses,
               membership_settings settings, agent_hooks hooks,
               std::uint64_t seed);
    ~agent_core();
    agent_core(const agent_core&) = delete;
    auto operator=(const agent_core&) -> agent_core& = delete;

    // Adopts a configuration when its version is larger; false otherwise.
    auto adopt(millis now, std::shared_ptr<const configuration> next) -> bool;

    // A caller's datagram, from a balancer or passed on by another agent.
    auto on_envelope(millis now, const envelope& message) -> void;

    // A datagram of the backend server on the flow's socket.
    auto on_server(millis now, const flow_key& flow, byte_view datagram)
        -> void;

    // The server's port is closed or its host is gone.
    auto on_server_lost(millis now) -> void;

    // The server answers its health endpoint again, or for the first time.
    auto on_server_ready(millis now) -> void;

    // How many requests the server runs at once, where it says so itself.
    auto set_slots(millis now, std::uint32_t slots) -> void;

    auto on_control(millis now, const control_message& message) -> void;

    auto tick(millis now) -> void;

    // Takes no new flow from now on and hands over the flows it has.
    auto drain(millis now) -> void;

    // True when a draining agent holds no flow and owes no acknowledgement.
    auto is_drained() const -> bool;

    auto members() -> member_view&;
    auto has_configuration() const -> bool;
    auto flow_count() const -> std::size_t;

    // Counters by name, for metrics.
    auto visit_counters(
        const std::function<void(std::string_view, std::uint64_t)>& visit) const
        -> void;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace briardrum

#endif
