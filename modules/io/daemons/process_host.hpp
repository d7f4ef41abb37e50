#ifndef BRIARDRUM_IO_DAEMONS_PROCESS_HOST_HPP
#define BRIARDRUM_IO_DAEMONS_PROCESS_HOST_HPP

#include "config/config.hpp"
#include "io/control/control_pool.hpp"
#include "io/control/control_server.hpp"
#include "io/daemons/process_loop.hpp"
#include "io/http/local_http.hpp"
#include "io/http/metrics_text.hpp"
#include "wire/wire.hpp"

#include <functional>

namespace briardrum
{

// What a daemon adds to its process_host.
struct process_host_hooks
{
    std::function<void(millis, const control_message&)> on_control;
    std::function<void(millis)> on_tick;
    // A graceful stop begins.
    std::function<void(millis)> on_stop;
    // True when a stopping daemon has nothing left to do.
    std::function<bool(millis)> is_quiet;
    // The daemon is about to end: tell the others.
    std::function<void(millis)> on_leaving;
    std::function<void(metrics_text&)> metrics;
    std::function<health_report()> health;
    // For GET /report; may be empty.
    std::function<std::string()> report;
};

// What the daemons for CoAP flows have: the process_loop, control connections
// and the local HTTP address.
//
// Create it, hang sockets on context(), call start() with the hooks, then
// run(). SIGTERM or SIGINT begins the graceful stop: the daemon works on until
// it is quiet or the settings' stop_bound is over, tells the others, and run()
// gives exit_stopped. A second signal gives exit_forced at once.
class process_host
{
public:
    process_host(const process_settings& settings, millis tick_interval);
    ~process_host();
    process_host(const process_host&) = delete;
    auto operator=(const process_host&) -> process_host& = delete;

    // Binds the control and HTTP addresses.
    auto start(process_host_hooks hooks) -> absl::Status;

    auto run() -> int;

    auto context() -> asio::io_context&;
    auto events() -> event_sink;

    // This life of the process.
    auto life() const -> incarnation_number;

    // The settings' start addresses without the own one.
    auto start_addresses() const -> std::vector<endpoint>;

    auto send_control(const endpoint& to, const control_message& message)
        -> void;

    auto is_stopping() const -> bool;

private:
    auto tick(millis now) -> void;
    auto tick_control(millis now) -> void;
    auto write_metrics() -> std::string;

    process_settings settings_;
    incarnation_number life_;
    process_loop loop_;
    process_host_hooks hooks_;
    control_counters counters_;
    control_server server_;
    control_pool pool_;
    std::unique_ptr<local_http> http_;
    byte_buffer heartbeat_;
    millis control_tick_at_;
};

} // namespace briardrum

#endif
