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
    // Sends a CoAP datagram to the backend server from the flow's socket, which
    // is opened if necessary.
    std::function<void(const flow_key&, byte_view)> send_to_server;
    // Closes the flow's socket, which is no longer needed.
    std::function<void(const flow_key&)> close_session;
    event_sink events;
    // Called when a request ends, for the service-level report; may be empty.
    std::function<void(const request_outcome&)> finished;
    // Called when a caller's cookie is rejected because its flow cannot
    // continue; may be empty.
    std::function<void()> flow_broken;
};

// Logic of the agent beside one backend server: which flows it owns, which
// requests run, which flows are handed over and what callers are answered.
//
// Call on_envelope() for each datagram of a balancer or agent, on_server() for
// each datagram of the backend server, and tick() every 10 ms. drain() starts a
// graceful stop; is_drained() tells when it is complete.
class agent_core
{
public:
    agent_core(const member_record& self, std::vector<endpoint> start_addresses,
               membership_settings settings, agent_hooks hooks,
               std::uint64_t seed);
    ~agent_core();
    agent_core(const agent_core&) = delete;
    auto operator=(const agent_core&) -> agent_core& = delete;

    // Adopts a configuration if its version is larger; returns false otherwise.
    auto adopt(millis now, std::shared_ptr<const configuration> next) -> bool;

    // Handles a caller's datagram, sent by a balancer or forwarded by another
    // agent.
    auto on_envelope(millis now, const envelope& message) -> void;

    // Handles a datagram from the backend server on the flow's socket.
    auto on_server(millis now, const flow_key& flow, byte_view datagram)
        -> void;

    // Called when the server's port is closed or its host is gone.
    auto on_server_lost(millis now) -> void;

    // Called when the server answers its health endpoint for the first time or
    // again.
    auto on_server_ready(millis now) -> void;

    // Sets how many requests the server runs concurrently, if the server
    // reports it.
    auto set_slots(millis now, std::uint32_t slots) -> void;

    auto on_control(millis now, const control_message& message) -> void;

    auto tick(millis now) -> void;

    // Stops accepting new flows and hands over the existing ones.
    auto drain(millis now) -> void;

    // Returns true once a draining agent holds no flow, held datagram or
    // unacknowledged transfer and has forwarded for long enough.
    auto is_drained() const -> bool;

    auto members() -> member_view&;
    auto has_configuration() const -> bool;
    auto flow_count() const -> std::size_t;

    // Calls visit(name, value) for each counter, for metrics.
    auto visit_counters(
        const std::function<void(std::string_view, std::uint64_t)>& visit) const
        -> void;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace briardrum

#endif
