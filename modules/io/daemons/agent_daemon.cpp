#include "io/daemons/agent_daemon.hpp"

#include "io/daemons/feed_metrics.hpp"
#include "io/daemons/member_metrics.hpp"

#include <utility>

namespace briardrum
{

namespace
{

constexpr millis tick_interval = milliseconds(10);

} // namespace

agent_daemon::agent_daemon(const agent_settings& settings)
    : settings_(settings), host_(settings.process, tick_interval),
      data_(host_.context()), data_errors_("data", host_.events()),
      sessions_(host_.context(), settings.server, make_session_hooks()),
      probe_(host_.context(), settings.server, settings.service,
             make_probe_hooks()),
      recorder_(clock::wall(), self_record()), core_(make_core()),
      feed_(make_feed())
{
}

auto agent_daemon::self_record() const -> member_record
{
    member_record self;
    self.id = member_id_of(settings_.process.name);
    self.incarnation = host_.life();
    self.kind = member_kind::agent;
    self.state = member_state::joining;
    self.name = settings_.process.name;
    self.data_centre = settings_.process.data_centre;
    self.data_address = settings_.process.data;
    self.control_address = settings_.process.control;
    self.service_name = settings_.service;
    self.slots = std::max<std::uint32_t>(settings_.slots, 1);
    return self;
}

auto agent_daemon::make_core() -> std::unique_ptr<agent_core>
{
    const auto self = self_record();
    agent_hooks hooks;
    hooks.send_envelope = [this](const endpoint& to, const envelope& message)
    {
        encode_envelope(message, data_.queue(to));
    };
    hooks.send_control = [this](const endpoint& to, const control_message& it)
    {
        host_.send_control(to, it);
    };
    hooks.send_to_server = [this](const flow_key& flow, byte_view datagram)
    {
        sessions_.send(clock::now(), flow, datagram);
    };
    hooks.close_session = [this](const flow_key& flow)
    {
        sessions_.close(flow);
    };
    hooks.events = host_.events();
    hooks.finished = [this](const request_outcome& outcome)
    {
        recorder_.record_outcome(clock::wall(), settings_.service, outcome);
    };
    hooks.flow_broken = [this]
    {
        recorder_.record_broken_flow(clock::wall(), settings_.service);
    };
    return std::make_unique<agent_core>(self, host_.start_addresses(),
                                        membership_settings{}, std::move(hooks),
                                        self.id ^ self.incarnation);
}

auto agent_daemon::make_feed() -> std::unique_ptr<configuration_feed>
{
    configuration_feed_hooks hooks;
    hooks.send = [this](const endpoint& to, const control_message& it)
    {
        host_.send_control(to, it);
    };
    hooks.post = [this](std::function<void()> task)
    {
        asio::post(host_.context(), std::move(task));
    };
    hooks.adopted = [this](millis now, std::shared_ptr<const configuration> it)
    {
        recorder_.adopt(clock::wall(), *it);
        core_->adopt(now, std::move(it));
    };
    hooks.events = host_.events();
    return std::make_unique<configuration_feed>(
        settings_.process.store, core_->members(), std::move(hooks),
        member_id_of(settings_.process.name) + host_.life());
}

auto agent_daemon::make_session_hooks() -> server_sessions_hooks
{
    server_sessions_hooks out;
    out.on_datagram = [this](const flow_key& flow, byte_view datagram)
    {
        core_->on_server(clock::now(), flow, datagram);
    };
    out.on_refused = [this]
    {
        core_->on_server_lost(clock::now());
    };
    out.events = host_.events();
    return out;
}

auto agent_daemon::make_probe_hooks() -> server_probe_hooks
{
    server_probe_hooks out;
    out.on_ready = [this](const server_announcement& announced)
    {
        const auto now = clock::now();
        if (settings_.slots == 0 && announced.slots > 0)
        {
            core_->set_slots(now, announced.slots);
            recorder_.set_slots(announced.slots);
        }
        core_->on_server_ready(now);
    };
    out.on_lost = [this]
    {
        core_->on_server_lost(clock::now());
    };
    out.events = host_.events();
    return out;
}

auto agent_daemon::start() -> absl::Status
{
    const auto status = data_.open(settings_.process.data);
    return status.ok() ? host_.start(make_host_hooks()) : status;
}

auto agent_daemon::adopt(std::shared_ptr<const configuration> next) -> void
{
    feed_->on_file(clock::now(), std::move(next));
}

auto agent_daemon::make_host_hooks() -> process_host_hooks
{
    process_host_hooks out;
    out.on_control = [this](millis now, const control_message& message)
    {
        if (!feed_->on_control(now, message))
        {
            core_->on_control(now, message);
        }
    };
    out.on_tick = [this](millis now)
    {
        on_tick(now);
    };
    out.on_stop = [this](millis now)
    {
        core_->drain(now);
    };
    out.is_quiet = [this](millis)
    {
        return core_->is_drained();
    };
    out.on_leaving = [this](millis now)
    {
        core_->members().set_state(now, member_state::left);
        recorder_.finish();
    };
    out.metrics = [this](metrics_text& text)
    {
        write_metrics(text);
    };
    out.health = [this]
    {
        return health();
    };
    out.report = [this]
    {
        return write_report();
    };
    return out;
}

auto agent_daemon::run() -> int
{
    udp_hooks data_hooks;
    data_hooks.on_datagram = [this](const endpoint& from, byte_view bytes)
    {
        on_data(from, bytes);
    };
    data_.start(std::move(data_hooks));
    return host_.run();
}

auto agent_daemon::on_data(const endpoint& from, byte_view bytes) -> void
{
    const auto message = decode_envelope(bytes);
    if (!message.ok())
    {
        data_errors_.note(from, message.status());
        return;
    }
    core_->on_envelope(clock::now(), *message);
}

auto agent_daemon::on_tick(millis now) -> void
{
    probe_.tick(now);
    sessions_.tick(now);
    core_->tick(now);
    feed_->tick(now);
}

auto agent_daemon::health() -> health_report
{
    if (host_.is_stopping())
    {
        return {false, "stopping"};
    }
    if (!core_->has_configuration())
    {
        return {false, "no configuration yet"};
    }
    if (!probe_.is_ready())
    {
        return {false, probe_.reason()};
    }
    const auto state = core_->members().self().state;
    return {state == member_state::ready, std::string(to_string(state))};
}

auto agent_daemon::write_report() const -> std::string
{
    const auto counted = recorder_.report(clock::wall());
    return write_reports({&counted, 1});
}

auto agent_daemon::write_metrics(metrics_text& out) -> void
{
    core_->visit_counters(
        [&](std::string_view name, std::uint64_t value)
        {
            out.counter(std::string("agent_") + std::string(name), value);
        });
    out.gauge("server_sessions", sessions_.size());
    out.counter("server_datagrams_dropped_total", sessions_.dropped());
    append_socket_metrics(out, "data", data_.counters());
    data_errors_.append_to(out);
    append_member_metrics(out, core_->members());
    append_feed_metrics(out, *feed_);
}

} // namespace briardrum
