#ifndef BRIARDRUM_IO_DAEMONS_PROCESS_LOOP_HPP
#define BRIARDRUM_IO_DAEMONS_PROCESS_LOOP_HPP

#include "core/core.hpp"
#include "io/daemons/exit_codes.hpp"
#include "io/log/event_log.hpp"

#include <asio.hpp>
#include <functional>
#include <optional>
#include <string>

namespace briardrum
{

// What a process_loop is told at start.
struct process_loop_settings
{
    // For logs.
    std::string name;
    event_level log_level = event_level::info;
    millis tick_interval = milliseconds(100);
    // How long a graceful stop may take before the process leaves anyway.
    millis stop_bound = seconds(10);
    // Between leaving and the end, for the last messages to reach others.
    millis leave_linger = seconds(1);
};

struct process_loop_hooks
{
    std::function<void(millis)> on_tick;
    // A graceful stop begins.
    std::function<void(millis)> on_stop;
    // True when a stopping process has nothing left to do.
    std::function<bool(millis)> is_quiet;
    // The process is about to end: tell the others.
    std::function<void(millis)> on_leaving;
    // SIGHUP: the settings may have changed; may be empty.
    std::function<void(millis)> on_reload;
};

// The event loop that every daemon has, with logs, a tick, signals and a
// graceful stop.
//
// Hang sockets on context(), then run(). SIGTERM or SIGINT begins the graceful
// stop: the process works on until it is quiet or stop_bound is over, tells
// the others, and run() gives exit_stopped after leave_linger. A second signal
// gives exit_forced at once.
class process_loop
{
public:
    explicit process_loop(process_loop_settings settings);
    process_loop(const process_loop&) = delete;
    auto operator=(const process_loop&) -> process_loop& = delete;

    // Gives the exit code.
    auto run(process_loop_hooks hooks) -> int;

    auto context() -> asio::io_context&;
    auto log() -> event_log&;
    auto is_stopping() const -> bool;
    auto set_stop_bound(millis bound) -> void;

private:
    auto wait_for_tick() -> void;
    auto wait_for_signal() -> void;
    auto tick(millis now) -> void;
    auto note_stall(millis now) -> void;
    auto tick_stop(millis now) -> void;
    auto on_signal(int number) -> void;
    auto on_stop_signal(millis now) -> void;

    process_loop_settings settings_;
    asio::io_context context_;
    asio::signal_set signals_;
    asio::steady_timer timer_;
    event_log log_;
    process_loop_hooks hooks_;
    millis ticked_at_;
    millis log_report_at_;
    std::optional<millis> stopping_since_;
    std::optional<millis> leaving_since_;
    int exit_code_ = exit_stopped;
};

} // namespace briardrum

#endif
