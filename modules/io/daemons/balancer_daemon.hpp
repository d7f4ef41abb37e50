#ifndef BRIARDRUM_IO_DAEMONS_BALANCER_DAEMON_HPP
#define BRIARDRUM_IO_DAEMONS_BALANCER_DAEMON_HPP

#include "io/daemons/datagram_errors.hpp"
#include "io/daemons/process_host.hpp"
#include "io/store/configuration_feed.hpp"
#include "io/udp/udp_socket.hpp"
#include "node/node.hpp"

namespace briardrum
{

// A whole balancer: a balancer_core on real sockets.
//
// Create it, call start(), adopt() a configuration, then run().
class balancer_daemon
{
public:
    explicit balancer_daemon(const balancer_settings& settings);
    balancer_daemon(const balancer_daemon&) = delete;
    auto operator=(const balancer_daemon&) -> balancer_daemon& = delete;

    // Binds every address; error_kind::unavailable names the one that cannot
    // be had.
    auto start() -> absl::Status;

    // A configuration to start with, until peers or the store have a newer
    // one.
    auto adopt(std::shared_ptr<const configuration> next) -> void;

    // Works until a signal ends it; gives the exit code.
    auto run() -> int;

private:
    auto make_core() -> std::unique_ptr<balancer_core>;
    auto make_feed() -> std::unique_ptr<configuration_feed>;
    auto make_host_hooks() -> process_host_hooks;
    auto on_packet(const endpoint& from, byte_view bytes) -> void;
    auto on_data(const endpoint& from, byte_view bytes) -> void;
    auto serve() -> void;
    auto serve_later() -> void;
    auto write_metrics(metrics_text& out) -> void;
    auto health() -> health_report;

    balancer_settings settings_;
    process_host host_;
    udp_socket packets_;
    udp_socket data_;
    datagram_errors packet_errors_;
    datagram_errors data_errors_;
    std::unique_ptr<balancer_core> core_;
    std::unique_ptr<configuration_feed> feed_;
    millis busy_at_;
    bool serve_posted_ = false;
};

} // namespace briardrum

#endif
