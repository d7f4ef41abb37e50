#ifndef BRIARDRUM_TESTS_FAKES_AGENT_FIXTURE_HPP
#define BRIARDRUM_TESTS_FAKES_AGENT_FIXTURE_HPP

#include "packets/packets.hpp"

#include <map>
#include <string>
#include <vector>

namespace briardrum::tests
{

// A packet_agent with a record of everything that it sends. The other agents of
// its service are only member records.
struct agent_fixture
{
    struct labelled_packet
    {
        endpoint to;
        flow_packet packet;
        packet_label label;
    };

    struct sent_control
    {
        endpoint to;
        control_message message;
    };

    explicit agent_fixture(std::size_t others = 2,
                           packet_agent_settings settings = {});

    auto heartbeat(std::uint64_t sequence, bool draining = false)
        -> heartbeat_outcome;
    // The server starts after the agent, which has found none before.
    auto start_server() -> heartbeat_outcome;
    auto address_of(std::size_t other) const -> endpoint;

    // A packet of a caller, as a balancer forwards it.
    auto opening(std::uint16_t port, std::uint8_t copies = 0) const
        -> flow_packet;
    auto data(std::uint16_t port, std::uint16_t payload) -> flow_packet;
    auto receive_from_balancer(const flow_packet& packet) -> void;
    // A packet without flags or payload from the server to the caller at this
    // port.
    auto server_packet(std::uint16_t port) const -> flow_packet;

    // Delivers a packet from the server to the caller at this port.
    auto answer_by_server(std::uint16_t port, bool opens, std::uint16_t payload)
        -> void;
    // The server accepts the flow with this initial sequence number.
    auto accept_by_server(std::uint16_t port, std::uint32_t sequence) -> void;
    auto reset_by_server(std::uint16_t port) -> void;
    auto return_packet(const flow_packet& packet) -> void;

    // Opens a flow, up to the acknowledgement of the caller.
    auto open_flow(std::uint16_t port) -> void;
    auto receive_notice(std::uint16_t port, label_kind kind, std::size_t other)
        -> void;
    // The agent of this index as the members see it; tells all of a change.
    auto record_of(std::size_t other) const -> member_record;
    auto announce(const member_record& record) -> void;

    // Queries sent to another agent.
    auto queries_to(std::size_t other) const -> std::vector<flow_query_message>;
    // Answers the last query to another agent: its server holds none of the
    // flows, and it knows the same agents as the fixture.
    auto deny_queries(std::size_t other) -> void;
    auto reply(std::size_t other, flow_reply_message message) -> void;

    auto advance_time(millis span) -> void;
    auto count_labelled(label_kind kind) const -> std::size_t;

    millis now = seconds(100);
    std::unique_ptr<member_view> members;
    std::unique_ptr<packet_agent> core;
    // Bytes sent by the caller at each port.
    std::map<std::uint16_t, std::uint32_t> data_sent;
    // Number of times that the agent looked for a server process.
    int server_checks = 0;
    std::vector<flow_packet> to_server;
    std::vector<flow_packet> to_caller;
    std::vector<labelled_packet> sent;
    std::vector<labelled_packet> notices;
    std::vector<sent_control> controls;
    std::vector<endpoint> resets;
    std::vector<std::string> events;
};

} // namespace briardrum::tests

#endif
