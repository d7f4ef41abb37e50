#include "io/daemons/process_loop.hpp"

#include <chrono>
#include <csignal>
#include <utility>

namespace briardrum
{

namespace
{

constexpr millis log_report_interval = seconds(1);
// A tick that comes this late is told: half the time after which callers and
// servers send a packet again.
constexpr millis stall_min = milliseconds(100);

} // namespace

process_loop::process_loop(process_loop_settings settings)
    : settings_(std::move(settings)), context_(ASIO_CONCURRENCY_HINT_UNSAFE_IO),
      signals_(context_, SIGTERM, SIGINT, SIGHUP), timer_(context_),
      log_(settings_.name, settings_.log_level)
{
}

auto process_loop::run(process_loop_hooks hooks) -> int
{
    hooks_ = std::move(hooks);
    wait_for_signal();
    timer_.expires_after(std::chrono::milliseconds(0));
    wait_for_tick();
    context_.run();
    return exit_code_;
}

auto process_loop::context() -> asio::io_context&
{
    return context_;
}

auto process_loop::log() -> event_log&
{
    return log_;
}

auto process_loop::is_stopping() const -> bool
{
    return stopping_since_.has_value();
}

auto process_loop::set_stop_bound(millis bound) -> void
{
    settings_.stop_bound = bound;
}

auto process_loop::wait_for_tick() -> void
{
    timer_.async_wait(
        [this](asio::error_code ec)
        {
            if (ec)
            {
                return;
            }
            timer_.expires_after(
                std::chrono::milliseconds(settings_.tick_interval.count));
            tick(clock::now());
            wait_for_tick();
        });
}

auto process_loop::tick(millis now) -> void
{
    note_stall(now);
    hooks_.on_tick(now);
    if (now >= log_report_at_)
    {
        log_report_at_ = now + log_report_interval;
        log_.report_suppressed(now);
    }
    if (stopping_since_.has_value())
    {
        tick_stop(now);
    }
    log_.flush();
}

// Says that the process got no processor time, or was busy, for so long that
// whoever waited for it noticed.
auto process_loop::note_stall(millis now) -> void
{
    const auto late = now - ticked_at_ - settings_.tick_interval;
    if (ticked_at_ != millis{} && late > stall_min)
    {
        log_.write(now,
                   event("process_stalled", event_level::warning)
                       .with("for_ms", static_cast<std::uint64_t>(late.count)));
    }
    ticked_at_ = now;
}

auto process_loop::tick_stop(millis now) -> void
{
    if (leaving_since_.has_value())
    {
        if (now - *leaving_since_ >= settings_.leave_linger)
        {
            context_.stop();
        }
        return;
    }
    const auto quiet = hooks_.is_quiet(now);
    const auto late = now - *stopping_since_ >= settings_.stop_bound;
    if (!quiet && !late)
    {
        return;
    }
    const auto took =
        static_cast<std::uint64_t>((now - *stopping_since_).count);
    log_.write(now, event(quiet ? "quiet" : "stop_bound_reached",
                          quiet ? event_level::info : event_level::warning)
                        .with("after_ms", took));
    leaving_since_ = now;
    hooks_.on_leaving(now);
}

auto process_loop::wait_for_signal() -> void
{
    signals_.async_wait(
        [this](asio::error_code ec, int number)
        {
            if (!ec)
            {
                on_signal(number);
                wait_for_signal();
            }
        });
}

auto process_loop::on_signal(int number) -> void
{
    const auto now = clock::now();
    if (number != SIGHUP)
    {
        on_stop_signal(now);
        return;
    }
    log_.write(now, event("reload_requested"));
    if (hooks_.on_reload)
    {
        hooks_.on_reload(now);
    }
}

auto process_loop::on_stop_signal(millis now) -> void
{
    if (stopping_since_.has_value())
    {
        log_.write(now, event("stop_forced", event_level::warning));
        exit_code_ = exit_forced;
        context_.stop();
        return;
    }
    stopping_since_ = now;
    log_.write(now, event("stopping"));
    hooks_.on_stop(now);
}

} // namespace briardrum
