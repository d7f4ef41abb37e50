#ifndef BRIARDRUM_IO_DAEMONS_PROCESS_HOST_HPP
#define BRIARDRUM_IO_DAEMONS_PROCESS_HOST_HPP

#include "config/config.hpp"
#include "io/control/control_pool.hpp"
#include "io/control/control_server.hpp"
#include "io/daemons/exit_codes.hpp"
#include "io/http/local_http.hpp"
#include "io/http/metrics_text.hpp"
#include "io/log/event_log.hpp"
#include "wire/wire.hpp"

#include <functional>
#include <optional>

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

// What every daemon has: the event loop, logs, control connections, the local
// HTTP address, a tick and a graceful stop.
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
    auto life() const -> incarnation;

    // The settings' start addresses without the own one.
    auto start_addresses() const -> std::vector<endpoint>;

    auto send_control(const endpoint& to, const control_message& message)
        -> void;

    auto is_stopping() const -> bool;

private:
    auto wait_for_tick() -> void;
    auto wait_for_signal() -> void;
    auto tick(millis now) -> void;
    auto tick_control(millis now) -> void;
    auto tick_stop(millis now) -> void;
    auto on_signal() -> void;
    auto write_metrics() -> std::string;

    process_settings settings_;
    millis tick_interval_;
    incarnation life_;
    asio::io_context context_;
    asio::signal_set signals_;
    asio::steady_timer timer_;
    event_log log_;
    process_host_hooks hooks_;
    control_counters counters_;
    control_server server_;
    control_pool pool_;
    std::unique_ptr<local_http> http_;
    byte_buffer heartbeat_;
    millis control_tick_at_;
    millis log_report_at_;
    std::optional<millis> stopping_since_;
    std::optional<millis> leaving_since_;
    int exit_code_ = exit_stopped;
};

} // namespace briardrum

#endif
