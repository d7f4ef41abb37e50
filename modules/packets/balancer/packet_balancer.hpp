#ifndef BRIARDRUM_PACKETS_BALANCER_PACKET_BALANCER_HPP
#define BRIARDRUM_PACKETS_BALANCER_PACKET_BALANCER_HPP

#include "membership/membership.hpp"
#include "packets/balancer/opening_hedger.hpp"
#include "packets/balancer/packet_balancer_counters.hpp"
#include "packets/model/packet_hooks.hpp"
#include "packets/model/route_table.hpp"
#include "routing/routing.hpp"

#include <map>
#include <memory>

namespace briardrum
{

// Forwards the packets of callers to the agents of their route's service. It
// holds no state that it cannot afford to lose: without a hint, a packet goes
// to the home agent of its flow, the first in rendezvous order, which is
// notified of the owner.
//
// Call adopt() with each route table, on_caller_packet() for each packet of the
// fabric and on_hint() for each hint from an agent.
class packet_balancer
{
public:
    // Capacity of the hint cache, in flows.
    static constexpr std::size_t hint_capacity = 16384;
    // How long packets of open flows are also sent to the services that their
    // route had before a change; the maximum lifetime of a flow.
    static constexpr millis former_service_time = seconds(60);

    packet_balancer(const member_view& members, packet_hooks hooks);
    packet_balancer(const packet_balancer&) = delete;
    auto operator=(const packet_balancer&) -> packet_balancer& = delete;

    // Adopts a route table with a higher version. Returns false for any other.
    auto adopt(millis now, std::shared_ptr<const route_table> next) -> bool;

    auto on_caller_packet(millis now, const flow_packet& packet) -> void;

    // Caches the owner of a flow as reported by an agent.
    auto on_hint(const flow_packet& notice) -> void;

    // Tells an agent which agents are known here. A balancer holds no flows;
    // any other message is ignored.
    auto on_control(const control_message& message) -> void;

    // Switches extra opening packets on or off. They are off until then.
    auto configure_hedging(millis now, const hedging_settings& settings)
        -> void;

    // Sends extra opening packets that are due.
    auto tick(millis now) -> void;

    // Call with true while a data centre is evacuated, on each change. If all
    // agents of a service drain then, opening packets are refused, and packets
    // of open flows still find their agents.
    auto set_evacuating(bool evacuating) -> void;

    // Returns true if there is a route table and at least one agent is ready,
    // or drains while a data centre is evacuated.
    auto is_ready() -> bool;

    auto version() const -> configuration_version;
    auto counters() const -> const packet_balancer_counters&;
    auto hedging() const -> const hedging_counters&;

private:
    // Whether the opening packet of a flow was sent to a second agent.
    enum class opened_twice : bool
    {
        no,
        yes,
    };

    struct former_target
    {
        std::string service_name;
        millis until;
    };

    auto report_ignored(const route_table* next) const -> void;
    auto remember_former_targets(millis now, const route_table& next) -> void;
    auto remember_targets(millis now, const endpoint& address,
                          const route& former) -> void;
    auto targets_of(const std::string& service_name) -> const service_targets&;
    auto place_flow(millis now, const flow_packet& packet, const route& matched,
                    const flow_key& flow) -> void;
    auto report_unanswered_agent(millis now, const service_targets& targets,
                                 const flow_packet& packet,
                                 const flow_key& flow) -> void;
    auto forward_open_flow(millis now, const flow_packet& packet,
                           const route& matched, const flow_key& flow) -> void;
    auto forward_to_hint(const flow_packet& packet, const route& matched,
                         const flow_key& flow, opened_twice twice) -> bool;
    auto send_to_home(const flow_packet& packet, const route& matched,
                      const std::string& service_name, const flow_key& flow,
                      opened_twice twice) -> void;
    auto send(const endpoint& to, const flow_packet& packet,
              const route& matched, const std::string& service_name,
              opened_twice twice = opened_twice::no) -> void;
    auto make_hedging_hooks() -> hedging_hooks;
    auto send_hedge(millis now, const kept_opening& opening) -> bool;
    auto refuse_unknown_route(const flow_packet& packet) -> void;
    auto is_evacuated(const std::string& service_name) const -> bool;
    auto on_no_agent(const flow_packet& packet, const std::string& service_name)
        -> void;

    const member_view& members_;
    packet_hooks hooks_;
    std::shared_ptr<const route_table> routes_;
    std::map<std::string, service_targets> targets_;
    std::map<endpoint, std::vector<former_target>> former_targets_;
    hint_cache hints_;
    packet_balancer_counters counters_;
    opening_hedger hedger_;
    bool evacuating_ = false;
};

} // namespace briardrum

#endif
