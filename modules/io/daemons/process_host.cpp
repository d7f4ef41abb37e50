#include "io/daemons/process_host.hpp"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <utility>

namespace briardrum
{

namespace
{

constexpr millis control_tick_interval = milliseconds(100);
constexpr millis log_report_interval = seconds(1);

// Time for the last gossip to reach the others.
constexpr millis leave_linger = seconds(1);

} // namespace

process_host::process_host(const process_settings& settings,
                           millis tick_interval)
    : settings_(settings), tick_interval_(tick_interval),
      life_(static_cast<incarnation>(clock::wall().count)),
      signals_(context_, SIGTERM, SIGINT), timer_(context_),
      log_(settings.name, settings.log_level),
      server_(
          context_,
          [this](const control_message& message)
          {
              hooks_.on_control(clock::now(), message);
          },
          counters_, log_.sink()),
      pool_(
          context_,
          [this](const control_message& message)
          {
              hooks_.on_control(clock::now(), message);
          },
          counters_, log_.sink())
{
    control_message heartbeat;
    heartbeat.from = member_id_of(settings.name);
    heartbeat.from_life = life_;
    heartbeat.body = heartbeat_message{};
    heartbeat_ = encode_control(heartbeat);
}

process_host::~process_host() = default;

auto process_host::start(process_host_hooks hooks) -> absl::Status
{
    hooks_ = std::move(hooks);
    auto status = server_.start(settings_.control);
    if (!status.ok())
    {
        return status;
    }
    local_http_hooks http_hooks;
    http_hooks.post = [this](std::function<void()> task)
    {
        asio::post(context_, std::move(task));
    };
    http_hooks.metrics = [this]
    {
        return write_metrics();
    };
    http_hooks.health = hooks_.health;
    http_hooks.report = hooks_.report;
    http_ = std::make_unique<local_http>(std::move(http_hooks));
    return http_->start(settings_.http);
}

auto process_host::run() -> int
{
    log_.write(clock::now(), event("started")
                                 .with("version", BRIARDRUM_VERSION)
                                 .with("data", to_string(settings_.data))
                                 .with("control", to_string(settings_.control))
                                 .with("http", to_string(settings_.http))
                                 .with("incarnation", life_));
    wait_for_signal();
    timer_.expires_after(std::chrono::milliseconds(0));
    wait_for_tick();
    context_.run();
    http_.reset();
    server_.close_all();
    pool_.close_all();
    log_.write(
        clock::now(),
        event("stopped").with("exit", static_cast<std::uint64_t>(exit_code_)));
    return exit_code_;
}

auto process_host::context() -> asio::io_context&
{
    return context_;
}

auto process_host::events() -> event_sink
{
    return log_.sink();
}

auto process_host::life() const -> incarnation
{
    return life_;
}

auto process_host::start_addresses() const -> std::vector<endpoint>
{
    auto out = settings_.start_addresses;
    std::erase(out, settings_.control);
    return out;
}

auto process_host::send_control(const endpoint& to,
                                const control_message& message) -> void
{
    pool_.send(clock::now(), to, message);
}

auto process_host::is_stopping() const -> bool
{
    return stopping_since_.has_value();
}

auto process_host::wait_for_tick() -> void
{
    timer_.async_wait(
        [this](asio::error_code ec)
        {
            if (ec)
            {
                return;
            }
            timer_.expires_after(
                std::chrono::milliseconds(tick_interval_.count));
            tick(clock::now());
            wait_for_tick();
        });
}

auto process_host::tick(millis now) -> void
{
    hooks_.on_tick(now);
    if (now >= control_tick_at_)
    {
        control_tick_at_ = now + control_tick_interval;
        tick_control(now);
    }
    if (stopping_since_.has_value())
    {
        tick_stop(now);
    }
}

auto process_host::tick_control(millis now) -> void
{
    server_.tick(now, heartbeat_);
    pool_.tick(now, heartbeat_);
    if (now >= log_report_at_)
    {
        log_report_at_ = now + log_report_interval;
        log_.report_suppressed(now);
    }
}

auto process_host::tick_stop(millis now) -> void
{
    if (leaving_since_.has_value())
    {
        if (now - *leaving_since_ >= leave_linger)
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

auto process_host::wait_for_signal() -> void
{
    signals_.async_wait(
        [this](asio::error_code ec, int)
        {
            if (!ec)
            {
                on_signal();
                wait_for_signal();
            }
        });
}

auto process_host::on_signal() -> void
{
    const auto now = clock::now();
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

auto process_host::write_metrics() -> std::string
{
    metrics_text out;
    hooks_.metrics(out);
    out.counter("control_opened_total", counters_.opened);
    out.counter("control_accepted_total", counters_.accepted);
    out.counter("control_messages_received_total", counters_.messages_received);
    out.counter("control_messages_sent_total", counters_.messages_sent);
    out.counter("control_bytes_received_total", counters_.bytes_received);
    out.counter("control_bytes_sent_total", counters_.bytes_sent);
    out.counter("control_dropped_total", counters_.dropped);
    out.counter("control_bad_frames_total", counters_.bad_frames);
    out.counter("control_silent_total", counters_.silent);
    out.gauge("control_connections_accepted", server_.size());
    out.gauge("control_connections_opened", pool_.size());
    return out.text();
}

} // namespace briardrum
