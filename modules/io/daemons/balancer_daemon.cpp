#include "io/daemons/balancer_daemon.hpp"

#include "io/daemons/feed_metrics.hpp"
#include "io/daemons/member_metrics.hpp"

#include <utility>

namespace briardrum
{

namespace
{

constexpr millis tick_interval = milliseconds(100);

// Datagrams forwarded between two looks at the sockets.
constexpr std::size_t serve_budget = 1024;

// A stopping balancer is quiet when the fabric sent nothing for this long.
constexpr millis quiet_after = seconds(1);

} // namespace

balancer_daemon::balancer_daemon(const balancer_settings& settings)
    : settings_(settings), host_(settings.process, tick_interval),
      packets_(host_.context()), data_(host_.context()),
      packet_errors_("packets", host_.events()),
      data_errors_("data", host_.events()), core_(make_core()),
      feed_(make_feed())
{
}

auto balancer_daemon::make_core() -> std::unique_ptr<balancer_core>
{
    member_record self;
    self.id = member_id_of(settings_.process.name);
    self.incarnation = host_.life();
    self.kind = member_kind::balancer;
    self.state = member_state::ready;
    self.name = settings_.process.name;
    self.data_centre = settings_.process.data_centre;
    self.data_address = settings_.process.data;
    self.control_address = settings_.process.control;

    balancer_hooks hooks;
    hooks.send_envelope = [this](const endpoint& to, const envelope& message)
    {
        encode_envelope(message, data_.queue(to));
    };
    hooks.send_to_caller = [this](const caller_packet& packet)
    {
        write_proxy_header(
            {packet.caller, packet.service_address, packet.datagram},
            packets_.queue(settings_.fabric));
    };
    hooks.send_control = [this](const endpoint& to, const control_message& it)
    {
        host_.send_control(to, it);
    };
    hooks.events = host_.events();
    return std::make_unique<balancer_core>(
        self, host_.start_addresses(), membership_settings{}, std::move(hooks),
        self.id ^ self.incarnation);
}

auto balancer_daemon::make_feed() -> std::unique_ptr<configuration_feed>
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
        core_->adopt(now, std::move(it));
    };
    hooks.events = host_.events();
    return std::make_unique<configuration_feed>(
        settings_.process.store, core_->members(), std::move(hooks),
        member_id_of(settings_.process.name) + host_.life());
}

auto balancer_daemon::start() -> absl::Status
{
    auto status = packets_.open(settings_.packets);
    if (status.ok())
    {
        status = data_.open(settings_.process.data);
    }
    return status.ok() ? host_.start(make_host_hooks()) : status;
}

auto balancer_daemon::adopt(std::shared_ptr<const configuration> next) -> void
{
    feed_->on_file(clock::now(), std::move(next));
}

auto balancer_daemon::make_host_hooks() -> process_host_hooks
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
        core_->tick(now);
        feed_->tick(now);
    };
    out.on_stop = [this](millis now)
    {
        busy_at_ = now;
        core_->leave(now);
    };
    out.is_quiet = [this](millis now)
    {
        return now - busy_at_ >= quiet_after;
    };
    out.on_leaving = [this](millis now)
    {
        core_->members().set_state(now, member_state::left);
    };
    out.metrics = [this](metrics_text& text)
    {
        write_metrics(text);
    };
    out.health = [this]
    {
        return health();
    };
    return out;
}

auto balancer_daemon::run() -> int
{
    udp_hooks packet_hooks;
    packet_hooks.on_datagram = [this](const endpoint& from, byte_view bytes)
    {
        on_packet(from, bytes);
    };
    packet_hooks.on_pass = [this]
    {
        serve();
    };
    packets_.start(std::move(packet_hooks));

    udp_hooks data_hooks;
    data_hooks.on_datagram = [this](const endpoint& from, byte_view bytes)
    {
        on_data(from, bytes);
    };
    data_.start(std::move(data_hooks));
    return host_.run();
}

auto balancer_daemon::on_packet(const endpoint& from, byte_view bytes) -> void
{
    const auto packet = read_proxy_header(bytes);
    if (!packet.ok())
    {
        packet_errors_.note(from, packet.status());
        return;
    }
    const auto now = clock::now();
    busy_at_ = now;
    core_->on_packet(
        now, {packet->caller, packet->service_address, packet->datagram});
}

auto balancer_daemon::on_data(const endpoint& from, byte_view bytes) -> void
{
    const auto message = decode_envelope(bytes);
    if (!message.ok())
    {
        data_errors_.note(from, message.status());
        return;
    }
    const auto now = clock::now();
    busy_at_ = now;
    core_->on_envelope(now, *message);
}

auto balancer_daemon::serve() -> void
{
    if (core_->serve(clock::now(), serve_budget) == serve_budget)
    {
        serve_later();
    }
}

auto balancer_daemon::serve_later() -> void
{
    if (std::exchange(serve_posted_, true))
    {
        return;
    }
    asio::post(host_.context(),
               [this]
               {
                   serve_posted_ = false;
                   serve();
               });
}

auto balancer_daemon::health() -> health_report
{
    if (host_.is_stopping())
    {
        return {false, "stopping"};
    }
    if (!core_->has_configuration())
    {
        return {false, "no configuration yet"};
    }
    return {true, "ready"};
}

auto balancer_daemon::write_metrics(metrics_text& out) -> void
{
    core_->visit_counters(
        [&](std::string_view name, std::string_view service,
            std::uint64_t value)
        {
            const auto label = service.empty()
                                   ? metric_label{}
                                   : metric_label{"service", service};
            out.counter(std::string("balancer_") + std::string(name), value,
                        label);
        });
    append_socket_metrics(out, "packets", packets_.counters());
    append_socket_metrics(out, "data", data_.counters());
    packet_errors_.append_to(out);
    data_errors_.append_to(out);
    append_member_metrics(out, core_->members());
    append_feed_metrics(out, *feed_);
}

} // namespace briardrum
