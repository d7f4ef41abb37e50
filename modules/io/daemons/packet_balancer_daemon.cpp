#include "io/daemons/packet_balancer_daemon.hpp"

#include <utility>

namespace briardrum
{

packet_balancer_daemon::packet_balancer_daemon(
    const packet_process_settings& settings, packet_format format,
    load_packet_settings load, packet_balancer_store from)
    : process_(settings, std::move(format), std::move(load)),
      limits_cold_servers_(settings.limits_cold_servers),
      from_(std::move(from)),
      store_(from_.open(process_.context(), process_.events())),
      core_(process_.members(), process_.make_packet_hooks()),
      policy_source_(from_.evacuation_prefix,
                     [this](const stored_policy& stored)
                     {
                         on_stored_policy(stored);
                     }),
      configuration_(*store_, make_watch_settings(), make_watch_hooks(),
                     member_id_of(settings.name))
{
}

auto packet_balancer_daemon::use_hedging(load_hedging load) -> void
{
    load_hedging_ = std::move(load);
}

auto packet_balancer_daemon::make_watch_settings() -> document_watch_settings
{
    document_watch_settings out;
    out.key = from_.configuration_key;
    out.prefix = process_.policy() == nullptr ? "" : from_.operators_prefix;
    return out;
}

auto packet_balancer_daemon::make_watch_hooks() -> document_watch_hooks
{
    document_watch_hooks out;
    out.on_value = [this](const std::string& text, store_revision at)
    {
        on_configuration(text, at);
    };
    out.events = process_.events();
    out.on_restored = [this]
    {
        process_.on_store_restored();
    };
    if (process_.policy() == nullptr)
    {
        return out;
    }
    out.on_read = [this](const store_range_result& result)
    {
        policy_source_.on_read(result);
    };
    out.on_events = [this](const store_watch_batch& batch)
    {
        policy_source_.on_events(batch);
    };
    return out;
}

auto packet_balancer_daemon::on_stored_policy(const stored_policy& stored)
    -> void
{
    process_.policy()->on_store(clock::now(), stored);
}

auto packet_balancer_daemon::start() -> absl::Status
{
    auto hedging = reload_hedging(clock::now());
    if (!hedging.ok())
    {
        return hedging;
    }
    process_.use_directory(*store_);
    return process_.start(make_hooks());
}

auto packet_balancer_daemon::run() -> int
{
    configuration_.refresh(clock::now());
    return process_.run();
}

auto packet_balancer_daemon::make_hooks() -> packet_process_hooks
{
    packet_process_hooks out;
    out.on_packet = [this](const endpoint&, const flow_packet& packet)
    {
        on_packet(packet);
    };
    out.on_control = [this](const control_message& message)
    {
        core_.on_control(message);
    };
    out.on_policy = [this](millis, const placement_policy& policy)
    {
        core_.set_evacuating(!policy.evacuated.empty());
        policy_source_.set_known_limits(policy.warm_up);
    };
    out.is_ready = [this]
    {
        return core_.is_ready();
    };
    out.metrics = [this](metrics_text& text)
    {
        write_metrics(text);
    };
    out.loop.on_tick = [this](millis now)
    {
        configuration_.tick(now);
        core_.tick(now);
    };
    out.loop.on_reload = [this](millis now)
    {
        reload_hedging(now).IgnoreError();
    };
    // The fabric is told by the readiness answer and goes on sending for a
    // while: a stopping balancer forwards until its time is over.
    out.loop.on_stop = [this](millis now)
    {
        process_.members().set_state(now, member_state::draining);
    };
    out.loop.is_quiet = [](millis)
    {
        return false;
    };
    return out;
}

// Settings that fail their check leave those before in force.
auto packet_balancer_daemon::reload_hedging(millis now) -> absl::Status
{
    if (!load_hedging_)
    {
        return absl::OkStatus();
    }
    const auto next = load_hedging_();
    if (!next.ok())
    {
        process_.events()(
            event("hedging_refused", event_level::error)
                .with("why", std::string(next.status().message())));
        return next.status();
    }
    core_.configure_hedging(now, *next);
    process_.events()(
        event("hedging_configured")
            .with("enabled", next->enabled ? "yes" : "no")
            .with("percentile", std::to_string(next->percentile))
            .with("share", std::to_string(next->share))
            .with("cap", std::uint64_t{next->cap})
            .with("floor_ms", static_cast<std::uint64_t>(next->floor.count)));
    return absl::OkStatus();
}

auto packet_balancer_daemon::on_packet(const flow_packet& packet) -> void
{
    if (packet.label.kind == label_kind::hint)
    {
        core_.on_hint(packet);
        return;
    }
    core_.on_caller_packet(clock::now(), packet);
}

auto packet_balancer_daemon::on_configuration(const std::string& text,
                                              store_revision at) -> void
{
    auto table = from_.read_configuration(text);
    if (!table.ok())
    {
        ++bad_configurations_;
        process_.events()(
            event("configuration_refused", event_level::error)
                .with("revision", static_cast<std::uint64_t>(at))
                .with("why", std::string(table.status().message())));
        return;
    }
    policy_source_.on_limits(
        limits_cold_servers_ ? table->warm_up : std::vector<service_warm_up>{},
        at);
    const auto now = clock::now();
    const auto next = std::make_shared<const route_table>(*std::move(table));
    if (core_.adopt(now, next))
    {
        process_.members().set_held_version(now, next->version);
    }
}

auto packet_balancer_daemon::write_metrics(metrics_text& out) const -> void
{
    const auto& it = core_.counters();
    out.counter("flows_placed_total", it.opened);
    out.counter("packets_by_hint_total", it.by_hint);
    out.counter("packets_by_home_total", it.by_home);
    out.counter("packets_to_former_service_total", it.to_former_service);
    out.counter("packets_dropped_total", it.no_configuration,
                {"reason", "no_configuration"});
    out.counter("packets_dropped_total", it.no_route, {"reason", "no_route"});
    out.counter("packets_dropped_total", it.no_agent, {"reason", "no_agent"});
    if (process_.policy() != nullptr)
    {
        out.counter("flows_refused_total", it.evacuated,
                    {"reason", "evacuated"});
    }
    out.counter("hints_learnt_total", it.hints_learnt);
    const auto& hedging = core_.hedging();
    out.counter("hedges_sent_total", hedging.sent);
    out.counter("hedges_withheld_total", hedging.over_budget,
                {"reason", "budget"});
    out.counter("hedges_withheld_total", hedging.not_calm,
                {"reason", "not_calm"});
    out.counter("hedges_withheld_total", hedging.no_target,
                {"reason", "no_target"});
    out.counter("configurations_refused_total", bad_configurations_);
    out.gauge("routes_version", core_.version());
    out.gauge("store_answers", configuration_.is_connected() ? 1 : 0);
    out.gauge("store_era", configuration_.era());
    out.gauge("store_revision",
              static_cast<std::uint64_t>(configuration_.position().revision));
    out.counter("store_restorations_total", configuration_.restorations());
    out.counter("store_values_ignored_total", configuration_.ignored_values());
}

} // namespace briardrum
