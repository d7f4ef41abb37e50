#ifndef BRIARDRUM_PACKETS_AGENT_CONDUCT_BOUND_HPP
#define BRIARDRUM_PACKETS_AGENT_CONDUCT_BOUND_HPP

#include "core/core.hpp"

#include <optional>
#include <span>

namespace briardrum
{

// Another agent of the service that takes new flows, as its record shows it.
struct conduct_peer
{
    member_id id = 0;
    std::uint8_t weight_percent = 100;
};

// What an agent counted at its last decision, itself included.
struct conduct_counts
{
    std::size_t agents = 0;
    // Agents that find their server faulty, and those of them that have reduced
    // their intake.
    std::size_t faulty = 0;
    std::size_t reduced = 0;
    // Most agents that may reduce their intake at once.
    std::size_t reduced_max = 0;
};

// Decides whether the agent of a faulty server reduces its intake of new flows,
// so that at most a third of the agents of a service do so at once, and none if
// more than half find their servers faulty.
//
// Agents decide by themselves from the weights in the members' records. An
// agent that finds its server faulty first announces this, with a weight that
// hardly changes its share of flows. It reduces its intake a second later, when
// the others' announcements have arrived, if there is room for it and for all
// announced agents with smaller ids. If there are too many after all, those
// with the largest ids return.
class conduct_bound
{
public:
    static constexpr std::uint8_t weight_normal = 100;
    static constexpr std::uint8_t weight_announced = 99;
    static constexpr std::uint8_t weight_reduced = 1;
    // Minimum time between two changes of the weight. Gossip reaches all
    // members of a large deployment within about five rounds of 200 ms.
    static constexpr millis change_interval = seconds(1);
    // Interval between the flows that a server with reduced intake still gets.
    static constexpr millis probe_interval = milliseconds(500);

    explicit conduct_bound(member_id self);

    // Call on each tick while the server is faulty or the weight is not normal.
    // With lacks_requests, the announced weight is published in place of the
    // reduced one, so that opening packets arrive to probe the server with.
    auto update(millis now, bool faulty, bool lacks_requests,
                std::span<const conduct_peer> others) -> void;

    // Weight for the record of this agent.
    auto weight_percent() const -> std::uint8_t;

    auto is_reduced() const -> bool;

    // Returns true if the server may be given a new flow: always while the
    // intake is not reduced, and else for each probe.
    auto allows_flow(millis now) const -> bool;

    // Call when a flow was given to the server.
    auto on_flow_started(millis now) -> void;

    auto counts() const -> const conduct_counts&;

private:
    enum class intake_state : std::uint8_t
    {
        normal,
        announced,
        reduced,
    };

    auto decide(millis now, bool faulty,
                std::span<const conduct_peer> others) const -> intake_state;
    auto publish(millis now, std::uint8_t weight) -> void;

    member_id self_;
    intake_state state_ = intake_state::normal;
    std::uint8_t published_ = weight_normal;
    std::optional<millis> published_at_;
    millis next_probe_;
    conduct_counts counts_;
};

} // namespace briardrum

#endif
