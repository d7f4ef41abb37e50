#ifndef BRIARDRUM_PACKETS_BALANCER_OPENING_HEDGER_HPP
#define BRIARDRUM_PACKETS_BALANCER_OPENING_HEDGER_HPP

#include "config/settings/hedging_settings.hpp"
#include "packets/balancer/service_openings.hpp"
#include "packets/model/flow_packet.hpp"

#include <functional>
#include <map>
#include <string>

namespace briardrum
{

// A first opening packet whose flow is not known to be open.
struct kept_opening
{
    flow_packet packet;
    byte_buffer bytes;
    std::string service_name;
    // The agent that the packet was sent to.
    member_id agent = 0;
    millis opened_at;
    // Set once the opening was counted as answered or not after the delay.
    bool counted = false;
    // Set once the caller has sent a copy of its own.
    bool copied = false;
    // Set once the packet was sent to a second agent.
    bool hedged = false;
};

// Outcomes of slow openings.
struct hedging_counters
{
    std::uint64_t sent = 0;
    std::uint64_t over_budget = 0;
    std::uint64_t not_calm = 0;
    std::uint64_t no_target = 0;
};

struct hedging_hooks
{
    // Sends the packet to another agent. Returns false if the route no longer
    // allows that or there is no other agent.
    std::function<bool(millis now, const kept_opening&)> send;
    event_sink events;
};

// Decides for which slow openings of flows the opening packet is sent to a
// second server.
//
// Only first opening packets of routes that may be repeated are passed in.
// Nothing is kept, measured or sent while hedging is off.
class opening_hedger
{
public:
    // An opening packet is discarded after this time. The caller sends a copy
    // after 200 ms, so that a later hedge would be of no use.
    static constexpr millis keep_time = milliseconds(400);
    // Time without hedges after hedging was switched on, at the latest at the
    // start of the process: the first openings after a mass event are slow.
    static constexpr millis start_time = seconds(5);
    // Kept opening packets; 1,024 take about 300 KB.
    static constexpr std::size_t kept_max = 1024;
    // Minimum interval between two passes over the kept packets.
    static constexpr millis pass_interval = milliseconds(5);

    explicit opening_hedger(hedging_hooks hooks);

    // Takes new settings. When hedging is off afterwards, all state is
    // discarded at once.
    auto configure(millis now, const hedging_settings& settings) -> void;
    auto is_enabled() const -> bool;

    // Call for each opening packet after it was sent to an agent.
    auto on_opening(millis now, const std::string& service_name,
                    member_id agent, const flow_packet& packet) -> void;

    // Call for each other packet of a caller. Returns true if it is the first
    // of its flow, and the opening packet was sent to a second agent.
    auto on_next_packet(millis now, const flow_key& flow) -> bool;

    // Returns true if the opening packet of the flow is kept.
    auto is_kept(const flow_key& flow) const -> bool;

    // Sends what is due. Call on each tick and each packet.
    auto tick(millis now) -> void;

    // Returns the delay after which an opening of the service is slow; empty
    // until there are enough samples.
    auto delay_of(const std::string& service_name) const
        -> std::optional<millis>;

    auto counters() const -> const hedging_counters&;

private:
    auto consider(millis now, kept_opening& kept, service_openings& service)
        -> void;
    auto report_calm(millis now, const std::string& service_name,
                     service_openings& service, bool calm) const -> void;

    hedging_hooks hooks_;
    hedging_settings settings_;
    millis enabled_at_;
    millis next_pass_;
    table<flow_key, kept_opening> kept_;
    std::map<std::string, service_openings> services_;
    hedging_counters counters_;
};

} // namespace briardrum

#endif
