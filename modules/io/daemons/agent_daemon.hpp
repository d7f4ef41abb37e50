#ifndef BRIARDRUM_IO_DAEMONS_AGENT_DAEMON_HPP
#define BRIARDRUM_IO_DAEMONS_AGENT_DAEMON_HPP

#include "io/daemons/datagram_errors.hpp"
#include "io/daemons/process_host.hpp"
#include "io/server/server_probe.hpp"
#include "io/server/server_sessions.hpp"
#include "io/store/configuration_feed.hpp"
#include "io/udp/udp_socket.hpp"
#include "node/node.hpp"
#include "report/report.hpp"

namespace briardrum
{

// A whole agent: an agent_core on real sockets, beside one backend server.
//
// Create it, call start(), adopt() a configuration, then run().
class agent_daemon
{
public:
    explicit agent_daemon(const agent_settings& settings);
    agent_daemon(const agent_daemon&) = delete;
    auto operator=(const agent_daemon&) -> agent_daemon& = delete;

    // Binds every address; error_kind::unavailable names the one that cannot
    // be had.
    auto start() -> absl::Status;

    // A configuration to start with, until peers or the store have a newer
    // one.
    auto adopt(std::shared_ptr<const configuration> next) -> void;

    // Works until a signal ends it; gives the exit code.
    auto run() -> int;

private:
    auto make_core() -> std::unique_ptr<agent_core>;
    auto make_feed() -> std::unique_ptr<configuration_feed>;
    auto make_host_hooks() -> process_host_hooks;
    auto make_session_hooks() -> server_sessions_hooks;
    auto make_probe_hooks() -> server_probe_hooks;
    auto on_data(const endpoint& from, byte_view bytes) -> void;
    auto on_tick(millis now) -> void;
    auto write_metrics(metrics_text& out) -> void;
    auto health() -> health_report;
    auto self_record() const -> member_record;
    auto write_report() const -> std::string;

    agent_settings settings_;
    process_host host_;
    udp_socket data_;
    datagram_errors data_errors_;
    server_sessions sessions_;
    server_probe probe_;
    report_recorder recorder_;
    std::unique_ptr<agent_core> core_;
    std::unique_ptr<configuration_feed> feed_;
};

} // namespace briardrum

#endif
