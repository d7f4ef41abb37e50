#ifndef BRIARDRUM_BENCH_RIG_PACKETS_PACKET_FLEET_HPP
#define BRIARDRUM_BENCH_RIG_PACKETS_PACKET_FLEET_HPP

#include "bench/rig/event_queue.hpp"
#include "bench/rig/packets/packet_caller.hpp"
#include "bench/rig/packets/packet_server.hpp"
#include "packets/packets.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace briardrum::rig
{

// A service of a packet_fleet.
struct packet_service
{
    std::string name;
    std::uint32_t servers = 1;
    std::uint32_t slots = 1;
};

struct packet_fleet_settings
{
    std::uint64_t seed = 1;
    std::uint32_t balancers = 5;
    std::vector<packet_service> services;
    std::vector<packet_load> loads;
    // Share of datagrams that are lost between VMs.
    double loss = 0;
    // How long news of members take to reach each process, at most.
    millis view_lag_max = milliseconds(300);
    server_model server;
    packet_agent_settings agent;
    // Rate of each service for cold servers, known to agents as they start.
    std::optional<double> warm_up_rate;
    // Extra opening packets of the balancers; off by default.
    hedging_settings hedging;
};

// Sums over all processes of a packet_fleet.
struct hedge_sums
{
    std::uint64_t openings = 0;
    std::uint64_t sent = 0;
    std::uint64_t over_budget = 0;
    std::uint64_t not_calm = 0;
    std::uint64_t started = 0;
    std::uint64_t won = 0;
    std::uint64_t lost = 0;
    std::uint64_t refused_by_load = 0;
};

// Balancers, agents, backend servers and callers of packet flows on virtual
// time: the decision cores as they run in the daemons, with fakes around them.
//
// run_until() plays; the faults take effect at the present time. The same
// settings and calls give the same run.
class packet_fleet
{
public:
    explicit packet_fleet(packet_fleet_settings settings);
    ~packet_fleet();
    packet_fleet(const packet_fleet&) = delete;
    auto operator=(const packet_fleet&) -> packet_fleet& = delete;

    auto run_until(millis end) -> void;
    auto events() -> event_queue&;

    // Callers begin to ask; a factor over 1 is a burst.
    auto start_load() -> void;
    auto set_load_factor(const std::string& load, double factor) -> void;

    // A balancer leaves the fabric's rotation and comes back; the fabric
    // places flows by their hash modulo the balancers in rotation.
    auto stop_balancer(std::size_t index) -> void;
    auto start_balancer(std::size_t index) -> void;

    // The agent's process is killed and starts again without its tables; its
    // server lives on.
    auto restart_agent(std::size_t index) -> void;

    // The server and its VM are lost, and start again as a new incarnation.
    auto lose_server(std::size_t index) -> void;
    auto start_server(std::size_t index) -> void;

    // The server says that it leaves and keeps its flows.
    auto drain_server(std::size_t index) -> void;

    // Every process and server is gone, and back after this time.
    auto lose_everything(millis down) -> void;

    // Operators evacuate these data centres, or none. Balancers and agents
    // learn it after at most view_lag_max each.
    auto evacuate(std::vector<std::string> names) -> void;
    // Flows that were opened at servers of a data centre so far.
    auto opened_in(const std::string& data_centre) const -> std::uint64_t;

    // The server answers this much slower, or does not answer at all.
    auto slow_server(std::size_t index, double factor) -> void;

    // The server stops for this time.
    auto freeze_server(std::size_t index, millis span) -> void;

    // Share of packets to and from this agent that are lost.
    auto set_agent_loss(std::size_t index, double share) -> void;

    auto hedges() const -> hedge_sums;

    auto server_count() const -> std::size_t;
    auto server(std::size_t index) const -> const packet_server&;
    auto caller() -> packet_caller&;

    // Datagrams between the system's own processes.
    auto messages() const -> std::uint64_t;

    // Packets that reached a server of another service, and flows that were
    // reset though their server held them. Both must be 0.
    auto misrouted() const -> std::uint64_t;
    auto broken_flows() const -> std::uint64_t;

    // The busiest server's runs over the mean of its service.
    auto imbalance(const std::string& service_name) const -> double;

private:
    struct balancer_process;
    struct agent_process;

    auto make_record(std::size_t index, member_kind kind,
                     const std::string& service_name) const -> member_record;
    auto make_balancer(std::size_t index) -> void;
    auto make_agent(std::size_t index) -> void;
    auto announce(const member_record& record) -> void;
    auto introduce(member_view& to) -> void;
    auto tell_policy(std::size_t agent_index) -> void;
    auto random_lag() -> millis;
    auto registered_agents() const -> std::vector<listed_agent>;
    auto beat(std::size_t index) -> void;
    auto tick_agents() -> void;
    auto tick_balancers() -> void;
    auto is_lost(const endpoint& from, const endpoint& to) -> bool;
    auto make_hooks(std::size_t agent_index) -> packet_hooks;
    auto send(const endpoint& to, const flow_packet& packet, bool labelled)
        -> void;
    auto arrive(const endpoint& from, const endpoint& to,
                const flow_packet& packet) -> void;
    auto arrive_control(const endpoint& from, const endpoint& to,
                        const control_message& message) -> void;
    auto from_caller(const flow_packet& packet) -> void;
    auto to_caller(const flow_packet& packet, std::size_t agent_index) -> void;
    auto on_reset(const endpoint& route, const endpoint& caller) -> void;
    auto delay_between(const endpoint& a, const endpoint& b) const -> millis;
    auto make_routes() const -> std::shared_ptr<const route_table>;

    packet_fleet_settings settings_;
    event_queue events_;
    random_source random_;
    std::vector<std::unique_ptr<balancer_process>> balancers_;
    std::vector<std::unique_ptr<agent_process>> agents_;
    std::vector<std::unique_ptr<packet_server>> servers_;
    std::map<member_id, member_record> records_;
    // By address of the agent's VM.
    std::map<std::uint32_t, double> agent_losses_;
    std::shared_ptr<const route_table> routes_;
    std::unique_ptr<packet_caller> caller_;
    placement_policy policy_;
    std::map<std::string, std::uint64_t> opened_in_;
    std::uint64_t messages_ = 0;
    std::uint64_t misrouted_ = 0;
    std::uint64_t broken_flows_ = 0;
};

} // namespace briardrum::rig

#endif
