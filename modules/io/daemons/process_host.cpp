#include "io/daemons/process_host.hpp"

#include <algorithm>
#include <utility>

namespace briardrum
{

namespace
{

constexpr millis control_tick_interval = milliseconds(100);

auto loop_settings_of(const process_settings& settings, millis tick_interval)
    -> process_loop_settings
{
    process_loop_settings out;
    out.name = settings.name;
    out.log_level = settings.log_level;
    out.tick_interval = tick_interval;
    out.stop_bound = settings.stop_bound;
    return out;
}

} // namespace

process_host::process_host(const process_settings& settings,
                           millis tick_interval)
    : settings_(settings),
      life_(static_cast<incarnation_number>(clock::wall().count)),
      loop_(loop_settings_of(settings, tick_interval)),
      server_(
          loop_.context(),
          [this](const control_message& message)
          {
              hooks_.on_control(clock::now(), message);
          },
          counters_, loop_.log().sink()),
      pool_(
          loop_.context(),
          [this](const control_message& message)
          {
              hooks_.on_control(clock::now(), message);
          },
          counters_, loop_.log().sink())
{
    control_message heartbeat;
    heartbeat.from = member_id_of(settings.name);
    heartbeat.from_incarnation = life_;
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
    http_hooks.metrics = [this]
    {
        return write_metrics();
    };
    http_hooks.health = hooks_.health;
    http_hooks.report = hooks_.report;
    http_ =
        std::make_unique<local_http>(loop_.context(), std::move(http_hooks));
    return http_->start(settings_.http);
}

auto process_host::run() -> int
{
    auto& log = loop_.log();
    log.write(clock::now(), event("started")
                                .with("version", BRIARDRUM_VERSION)
                                .with("data", to_string(settings_.data))
                                .with("control", to_string(settings_.control))
                                .with("http", to_string(settings_.http))
                                .with("incarnation", life_));
    process_loop_hooks hooks;
    hooks.on_tick = [this](millis now)
    {
        tick(now);
    };
    hooks.on_stop = hooks_.on_stop;
    hooks.is_quiet = hooks_.is_quiet;
    hooks.on_leaving = hooks_.on_leaving;
    const auto code = loop_.run(std::move(hooks));
    http_.reset();
    server_.close_all();
    pool_.close_all();
    log.write(clock::now(),
              event("stopped").with("exit", static_cast<std::uint64_t>(code)));
    return code;
}

auto process_host::context() -> asio::io_context&
{
    return loop_.context();
}

auto process_host::events() -> event_sink
{
    return loop_.log().sink();
}

auto process_host::life() const -> incarnation_number
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
    return loop_.is_stopping();
}

auto process_host::tick(millis now) -> void
{
    hooks_.on_tick(now);
    if (now >= control_tick_at_)
    {
        control_tick_at_ = now + control_tick_interval;
        tick_control(now);
    }
}

auto process_host::tick_control(millis now) -> void
{
    server_.tick(now, heartbeat_);
    pool_.tick(now, heartbeat_);
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
