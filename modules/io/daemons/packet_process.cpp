#include "io/daemons/packet_process.hpp"

#include "io/daemons/member_metrics.hpp"

#include <utility>

namespace briardrum
{

namespace
{

constexpr millis member_tick_interval = milliseconds(50);
// After a start in common every packet waits for the first news of agents;
// nothing is sent while nothing changes.
constexpr millis gossip_interval = milliseconds(200);
// Probes wait behind callers' packets on a VM's link of 10 Mbit/s; a queue of
// over half a second counts as a fault there.
constexpr millis probe_timeout = milliseconds(500);
constexpr millis probe_interval = seconds(1);
constexpr millis leave_linger = milliseconds(200);
// A settings file that changed without a signal is found within this time.
constexpr millis reload_interval = seconds(5);
// Balancers only tick; agents have queues to look after.
constexpr millis balancer_tick_interval = milliseconds(50);
constexpr millis agent_tick_interval = milliseconds(20);
// Records in one datagram; more than a gossip round sends, so that parts of
// an answer to a newcomer are not taken for news and spread again.
constexpr std::uint32_t records_per_round = 6;
constexpr std::size_t records_per_datagram = 10;
// Every packet waits until the first member is known; answers that came that
// early are not enough, so more are asked for.
constexpr millis join_interval_when_alone = milliseconds(50);
constexpr std::uint32_t join_requests_when_alone = 4;
constexpr std::uint32_t join_answers = 5;
// After a start in common the first answers hold only some of the members;
// what is not known yet gets no flows.
constexpr millis join_interval = milliseconds(250);

auto loop_settings_of(const packet_process_settings& settings)
    -> process_loop_settings
{
    process_loop_settings out;
    out.name = settings.name;
    out.log_level = settings.log_level;
    out.tick_interval = settings.kind == member_kind::agent
                            ? agent_tick_interval
                            : balancer_tick_interval;
    out.stop_bound = settings.stop_bound;
    out.leave_linger = leave_linger;
    return out;
}

auto membership_settings_of_packets() -> membership_settings
{
    membership_settings out;
    out.records_per_message = records_per_round;
    out.gossip_interval = gossip_interval;
    out.probe_timeout = probe_timeout;
    out.probe_interval = probe_interval;
    out.join_interval = join_interval;
    out.join_interval_when_alone = join_interval_when_alone;
    out.join_requests_when_alone = join_requests_when_alone;
    out.join_answers = join_answers;
    return out;
}

} // namespace

packet_process::packet_process(packet_process_settings settings,
                               packet_format format, load_packet_settings load)
    : settings_(std::move(settings)), format_(std::move(format)),
      load_(std::move(load)), loop_(loop_settings_of(settings_)),
      packets_(loop_.context()), control_(loop_.context()),
      http_(loop_.context(),
            [this](const http_request& request)
            {
                return answer(request);
            }),
      members_(own_record(), settings_.start_addresses,
               membership_settings_of_packets(),
               {[this](const endpoint& to, const control_message& message)
                {
                    send_control(to, message);
                },
                nullptr, loop_.log().sink(),
                [this](millis now, const member_record& record)
                {
                    if (hooks_.on_member_departed)
                    {
                        hooks_.on_member_departed(now, record);
                    }
                }},
               member_id_of(settings_.name)),
      policy_(make_policy_spreader())
{
}

auto packet_process::make_policy_spreader() -> std::unique_ptr<policy_spreader>
{
    if (!has_placement_policy(settings_))
    {
        return nullptr;
    }
    policy_spreader_hooks hooks;
    hooks.send = [this](const endpoint& to, placement_policy_message message)
    {
        const auto& self = members_.self();
        if (!members_.is_replaced())
        {
            send_control(to, {self.id, self.incarnation, std::move(message)});
        }
    };
    hooks.on_policy = [this](millis now, const placement_policy& policy)
    {
        if (hooks_.on_policy)
        {
            hooks_.on_policy(now, policy);
        }
    };
    hooks.events = loop_.log().sink();
    return std::make_unique<policy_spreader>(
        members_, policy_spreader_settings{}, std::move(hooks),
        member_id_of(settings_.name));
}

auto packet_process::own_record() const -> member_record
{
    member_record out;
    out.id = member_id_of(settings_.name);
    out.incarnation = static_cast<incarnation_number>(clock::wall().count);
    out.kind = settings_.kind;
    // An agent is ready once its server has announced itself.
    out.state = settings_.kind == member_kind::agent ? member_state::joining
                                                     : member_state::ready;
    out.name = settings_.name;
    out.data_centre = settings_.data_centre;
    out.data_address = settings_.packets;
    out.control_address = settings_.members;
    out.service_name = settings_.service_name;
    // An agent without slots is one whose server has left.
    out.slots = settings_.kind == member_kind::agent ? 1 : 0;
    return out;
}

auto packet_process::start(packet_process_hooks hooks) -> absl::Status
{
    hooks_ = std::move(hooks);
    auto status = packets_.open(settings_.packets);
    if (status.ok())
    {
        status = control_.open(settings_.members);
    }
    if (status.ok())
    {
        status = http_.start(settings_.readiness);
    }
    if (!status.ok())
    {
        return status;
    }
    udp_hooks packet_hooks;
    packet_hooks.on_datagram = [this](const endpoint& from, byte_view bytes)
    {
        read_packets(bytes, from, hooks_.on_packet);
    };
    packets_.start(std::move(packet_hooks));
    udp_hooks control_hooks;
    control_hooks.on_datagram = [this](const endpoint& from, byte_view bytes)
    {
        on_control(from, bytes);
    };
    control_.start(std::move(control_hooks));
    return absl::OkStatus();
}

auto packet_process::run() -> int
{
    auto& log = loop_.log();
    log.write(clock::now(),
              event("started")
                  .with("version", BRIARDRUM_VERSION)
                  .with("packets", to_string(settings_.packets))
                  .with("members", to_string(settings_.members))
                  .with("store", to_string(settings_.store))
                  .with("service", settings_.service_name)
                  .with("incarnation", members_.self().incarnation));
    auto hooks = hooks_.loop;
    hooks.on_tick = [this](millis now)
    {
        tick(now);
    };
    hooks.on_reload = [this](millis now)
    {
        reload(now);
        if (hooks_.loop.on_reload)
        {
            hooks_.loop.on_reload(now);
        }
    };
    hooks.on_leaving = [this](millis now)
    {
        members_.set_state(now, member_state::left);
        members_.tick(now);
        if (hooks_.loop.on_leaving)
        {
            hooks_.loop.on_leaving(now);
        }
    };
    const auto code = loop_.run(std::move(hooks));
    log.write(clock::now(),
              event("stopped").with("exit", static_cast<std::uint64_t>(code)));
    return code;
}

auto packet_process::use_directory(store& in) -> void
{
    member_directory_settings settings;
    settings.own_name = settings_.name;
    settings.own_address = settings_.members;
    settings.publishes = settings_.kind == member_kind::balancer;
    directory_ = std::make_unique<member_directory>(
        in, std::move(settings),
        member_directory_hooks{[this](std::span<const endpoint> found)
                               {
                                   members_.add_start_addresses(found);
                               },
                               loop_.log().sink(),
                               [this](std::span<const listed_agent> agents)
                               {
                                   if (hooks_.on_registered_agents)
                                   {
                                       hooks_.on_registered_agents(clock::now(),
                                                                   agents);
                                   }
                               }});
    if (settings_.kind == member_kind::balancer)
    {
        agent_registrar_settings registration;
        registration.departed_retention = settings_.flow_lifetime;
        registrar_ = std::make_unique<agent_registrar>(
            in, members_, std::move(registration), loop_.log().sink());
    }
}

auto packet_process::on_store_restored() -> void
{
    if (directory_ != nullptr)
    {
        directory_->on_store_restored();
    }
    if (registrar_ != nullptr)
    {
        registrar_->on_store_restored();
    }
}

auto packet_process::tick(millis now) -> void
{
    if (now >= next_member_tick_)
    {
        next_member_tick_ = now + member_tick_interval;
        members_.tick(now);
        if (directory_ != nullptr && !loop_.is_stopping())
        {
            directory_->tick(now, members_.is_alone());
        }
        if (registrar_ != nullptr && !loop_.is_stopping())
        {
            registrar_->tick(now);
        }
    }
    if (policy_ != nullptr)
    {
        policy_->tick(now);
    }
    if (now >= next_reload_)
    {
        reload(now);
    }
    hooks_.loop.on_tick(now);
    const auto ready = hooks_.is_ready();
    if (ready != std::exchange(was_ready_, ready))
    {
        loop_.log().write(now, event(ready ? "ready" : "not_ready"));
    }
}

auto packet_process::reload(millis now) -> void
{
    next_reload_ = now + reload_interval;
    const auto next = load_();
    if (!next.ok())
    {
        const auto why = std::string(next.status().message());
        if (std::exchange(reload_failure_, why) != why)
        {
            loop_.log().write(now,
                              event("settings_refused", event_level::warning)
                                  .with("why", why));
        }
        return;
    }
    reload_failure_.clear();
    if (*next != settings_)
    {
        take_settings(*next);
    }
}

// What is bound to an address stays as it is until the next start.
auto packet_process::take_settings(const packet_process_settings& next) -> void
{
    auto kept = settings_;
    kept.start_addresses = next.start_addresses;
    kept.stop_bound = next.stop_bound;
    loop_.log().write(
        clock::now(),
        event("settings_changed")
            .with("start_addresses", std::uint64_t{next.start_addresses.size()})
            .with("stop_bound_ms",
                  static_cast<std::uint64_t>(next.stop_bound.count))
            .with("rest", kept == next ? "unchanged" : "at_next_start"));
    members_.add_start_addresses(next.start_addresses);
    loop_.set_stop_bound(next.stop_bound);
    settings_ = next;
}

auto packet_process::make_packet_hooks() -> packet_hooks
{
    packet_hooks out;
    out.send_labelled = [this](const endpoint& to, const flow_packet& packet,
                               const packet_label& label)
    {
        format_.write(packet, label, packets_.queue(to));
    };
    out.send_notice = [this](const endpoint& to, const endpoint& caller,
                             const endpoint& route, const packet_label& label)
    {
        format_.write_notice(caller, route, label, packets_.queue(to));
    };
    out.send_to_caller = [this](const flow_packet& packet)
    {
        const endpoint to{packet.destination.address, settings_.caller_port};
        format_.write(packet, {}, packets_.queue(to));
    };
    out.send_reset = [this](const endpoint& route, const endpoint& caller,
                            std::uint32_t acknowledged)
    {
        const endpoint to{caller.address, settings_.caller_port};
        format_.write_reset(route, caller, acknowledged, packets_.queue(to));
    };
    out.opening_unanswered = [this](millis now, member_id agent)
    {
        members_.probe_now(now, agent);
    };
    out.send_control =
        [this](const endpoint& to, const control_message& message)
    {
        send_control(to, message);
    };
    out.events = loop_.log().sink();
    return out;
}

auto packet_process::read_packets(
    byte_view bytes, const endpoint& from,
    const std::function<void(const endpoint&, const flow_packet&)>& take)
    -> void
{
    const auto packet = format_.read(bytes);
    if (!packet.ok())
    {
        ++bad_packets_;
        loop_.log().write(
            clock::now(),
            event("packet_malformed", event_level::warning)
                .with("from", to_string(from))
                .with("why", std::string(packet.status().message())));
        return;
    }
    take(from, *packet);
}

// A newcomer's answer is larger than a datagram should be.
auto packet_process::send_control(const endpoint& to,
                                  const control_message& message) -> void
{
    const auto* gossip = std::get_if<gossip_message>(&message.body);
    if (gossip == nullptr || gossip->records.size() <= records_per_datagram)
    {
        send_control_part(to, message);
        return;
    }
    const std::span<const member_record> records(gossip->records);
    for (std::size_t at = 0; at < records.size(); at += records_per_datagram)
    {
        const auto n = std::min(records_per_datagram, records.size() - at);
        const auto part = records.subspan(at, n);
        auto piece = message;
        piece.body =
            gossip_message{{part.begin(), part.end()}, gossip->want_all};
        send_control_part(to, piece);
    }
}

auto packet_process::send_control_part(const endpoint& to,
                                       const control_message& message) -> void
{
    control_.queue(to) = encode_control(message);
}

auto packet_process::on_control(const endpoint& from, byte_view bytes) -> void
{
    const auto message = decode_control(bytes);
    if (!message.ok())
    {
        ++bad_control_;
        loop_.log().write(
            clock::now(),
            event("control_malformed", event_level::warning)
                .with("from", to_string(from))
                .with("why", std::string(message.status().message())));
        return;
    }
    if (const auto* policy =
            std::get_if<placement_policy_message>(&message->body))
    {
        if (policy_ != nullptr)
        {
            policy_->on_message(clock::now(), message->from, from, *policy);
        }
        return;
    }
    if (!members_.on_control(clock::now(), *message) && hooks_.on_control)
    {
        hooks_.on_control(*message);
    }
}

auto packet_process::answer(const http_request& request) -> http_response
{
    if (request.method == "GET" && request.target == format_.readiness_path)
    {
        const auto ready = !loop_.is_stopping() && hooks_.is_ready();
        return {ready ? http_ok : http_unavailable, "text/plain", ""};
    }
    if (request.method == "GET" && request.target == "/metrics")
    {
        return {http_ok, "text/plain; version=0.0.4", write_metrics()};
    }
    return {http_not_found, "text/plain", ""};
}

auto packet_process::write_metrics() -> std::string
{
    metrics_text out;
    hooks_.metrics(out);
    append_socket_metrics(out, "packets", packets_.counters());
    append_socket_metrics(out, "members", control_.counters());
    append_member_metrics(out, members_);
    if (policy_ != nullptr)
    {
        append_policy_metrics(out, *policy_);
    }
    out.counter("packets_malformed_total", bad_packets_);
    out.counter("control_malformed_total", bad_control_);
    return out.text();
}

auto packet_process::context() -> asio::io_context&
{
    return loop_.context();
}

auto packet_process::events() -> event_sink
{
    return loop_.log().sink();
}

auto packet_process::members() -> member_view&
{
    return members_;
}

auto packet_process::policy() const -> policy_spreader*
{
    return policy_.get();
}

auto packet_process::is_stopping() const -> bool
{
    return loop_.is_stopping();
}

auto packet_process::format() const -> const packet_format&
{
    return format_;
}

} // namespace briardrum
