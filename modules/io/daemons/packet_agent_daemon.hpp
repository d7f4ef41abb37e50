#ifndef BRIARDRUM_IO_DAEMONS_PACKET_AGENT_DAEMON_HPP
#define BRIARDRUM_IO_DAEMONS_PACKET_AGENT_DAEMON_HPP

#include "io/daemons/packet_process.hpp"
#include "io/server/server_presence.hpp"

#include <variant>

namespace briardrum
{

// A backend server is about to exit.
struct server_leave
{
    std::string server_id;
};

// How a backend server speaks of itself to the agent beside it.
struct server_protocol
{
    // error_kind::not_found for a request that is neither; malformed when its
    // content names no server to use.
    std::function<absl::StatusOr<std::variant<server_heartbeat, server_leave>>(
        const http_request&)>
        read;
};

// The process beside one backend server: packet_agent with sockets and
// membership.
class packet_agent_daemon
{
public:
    packet_agent_daemon(const packet_process_settings& settings,
                        packet_format format, load_packet_settings load,
                        server_protocol protocol, const open_store& open);

    auto start() -> absl::Status;
    auto run() -> int;

private:
    auto make_hooks() -> packet_process_hooks;
    auto make_agent_hooks() -> packet_hooks;
    auto answer_server(const http_request& request) -> http_response;
    auto answer_heartbeat(const server_heartbeat& heartbeat) -> http_response;
    auto write_metrics(metrics_text& out) const -> void;
    auto write_conduct_metrics(metrics_text& out) const -> void;

    packet_process_settings settings_;
    packet_process process_;
    server_protocol protocol_;
    std::unique_ptr<store> store_;
    latency_histogram waits_;
    latency_histogram answers_;
    udp_socket from_server_;
    server_presence presence_;
    http_server heartbeats_;
    packet_agent core_;
    std::uint64_t bad_heartbeats_ = 0;
    // Heartbeats and leave announcements that contradict the known server.
    std::uint64_t unconfirmed_requests_ = 0;
};

} // namespace briardrum

#endif
