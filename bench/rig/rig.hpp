#ifndef BRIARDRUM_BENCH_RIG_RIG_HPP
#define BRIARDRUM_BENCH_RIG_RIG_HPP

#include "bench/rig/event_queue.hpp"
#include "bench/rig/fake_caller.hpp"
#include "bench/rig/fake_server.hpp"
#include "config/config.hpp"
#include "core/core.hpp"
#include "node/node.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace briardrum::rig
{

// Delays and faults of every message between nodes.
struct network_profile
{
    millis caller_delay = milliseconds(3);
    millis node_delay = milliseconds(1);
    // Added at random, so that messages overtake each other.
    millis jitter = milliseconds(1);
    // Chance that a datagram, or a control message, is lost or comes twice.
    double loss = 0;
    double duplication = 0;
    double control_loss = 0;
};

// Joins the decision cores of one deployment on virtual time: balancers,
// agents with fake servers, fake callers, and faults between them. It models
// messages only: no hosts and no network.
//
// Create it with a seed, add nodes and callers, run_for() some time, cause
// faults by node name, and read totals(); check() compares what servers ran
// with what callers were told.
class rig
{
public:
    explicit rig(std::uint64_t seed);
    ~rig();
    rig(const rig&) = delete;
    auto operator=(const rig&) -> rig& = delete;

    auto network() -> network_profile&;
    auto queue() -> event_queue&;

    // Creates a service with a preset policy; before any node is added.
    auto add_service(const std::string& name, service_policy policy = {})
        -> void;

    auto add_balancer(const std::string& name) -> void;
    auto add_agent(const std::string& name, const std::string& service,
                   const server_profile& profile = {}) -> void;

    // A caller of a service; its first request comes after the delay.
    auto add_caller(const std::string& service, const caller_profile& profile,
                    millis delay) -> fake_caller&;

    auto run_for(millis span) -> void;

    // Faults, by node name. A killed node loses its memory; replace() starts
    // it anew with the same name and address and a larger incarnation.
    auto kill(const std::string& name) -> void;
    auto replace(const std::string& name) -> void;
    auto pause(const std::string& name, millis span) -> void;
    auto drain(const std::string& name) -> void;
    auto leave(const std::string& name) -> void;
    // Nothing passes from one node to the other, one way.
    auto cut(const std::string& from, const std::string& to) -> void;
    // The same for control messages only: datagrams still pass.
    auto cut_control(const std::string& from, const std::string& to) -> void;
    auto heal() -> void;
    // Control messages to this node take up to this long.
    auto delay_control(const std::string& name, millis up_to) -> void;
    // The server of an agent dies, or is there again.
    auto kill_server(const std::string& agent) -> void;
    auto restart_server(const std::string& agent) -> void;
    // A datagram of a caller that waits for no answer.
    auto inject(const endpoint& caller, const std::string& service,
                byte_view datagram) -> void;
    // Each balancer forwards so many packets of callers per millisecond at
    // most. As first in first out, its queue knows no services and drops what
    // comes when it is full, as a socket's buffer does.
    auto limit_balancers(std::size_t packets_per_ms, bool first_in_first_out)
        -> void;
    // Only rendezvous in the balancers decides; agents keep what they get.
    auto use_baseline() -> void;

    auto agent(const std::string& name) -> agent_core&;
    auto balancer(const std::string& name) -> balancer_core&;
    auto server(const std::string& agent) -> fake_server&;
    auto is_quiet(const std::string& agent) -> bool;
    auto agents_of(const std::string& service) const
        -> std::vector<std::string>;

    // A new configuration, adopted by every node as it is told.
    auto change_configuration(const std::function<void(configuration&)>& edit)
        -> void;

    // Callers whose last answer came from this server are excused for what
    // breaks from now on.
    auto excuse_callers_of(const std::string& server) -> void;
    auto finish_callers() -> void;

    auto totals(const std::string& service) -> caller_totals&;

    // Broken promises, one line each: a confirmation that ran twice, one that
    // ran after "not run", a wrong answer. Empty when all is well.
    auto check() const -> std::vector<std::string>;

    // Every event line of every node, with time and node; for golden files.
    auto record_events(std::vector<std::string>* into) -> void;

private:
    struct node;

    auto find(const std::string& name) const -> node&;
    auto start_node(node& item) -> void;
    auto start_server(node& item) -> void;
    auto at_address(const endpoint& address) const -> node*;
    auto event_sink_for(const std::string& name) -> event_sink;
    auto passes(const node& from, const node& to) -> bool;
    auto transit() -> millis;
    auto send_envelope(node& from, const endpoint& to, const envelope& message)
        -> void;
    auto send_control(node& from, const endpoint& to,
                      const control_message& message) -> void;
    auto deliver(node& to, std::uint64_t life, event_queue::action what)
        -> void;
    auto to_balancer(const endpoint& caller, const endpoint& service_address,
                     byte_view datagram) -> void;
    auto on_packet(node& item, const caller_packet& packet) -> void;
    auto pump_balancers() -> void;
    auto to_caller(const caller_packet& packet) -> void;
    auto tick(node& item, std::uint64_t life) -> void;

    struct state;
    std::unique_ptr<state> state_;
};

} // namespace briardrum::rig

#endif
