#include "io/daemons/packet_agent_daemon.hpp"

#include <utility>

namespace briardrum
{

namespace
{

auto agent_settings_of(const packet_process_settings& settings)
    -> packet_agent_settings
{
    packet_agent_settings out;
    out.service_name = settings.service_name;
    out.heartbeat_interval = settings.heartbeat_interval;
    out.flow_lifetime = settings.flow_lifetime;
    out.warm_up_overshoot = settings.warm_up_overshoot;
    out.warm_up_slack = settings.warm_up_slack;
    out.needs_policy = settings.evacuation_deadline.has_value();
    out.judge_server = settings.judge_server;
    return out;
}

} // namespace

packet_agent_daemon::packet_agent_daemon(
    const packet_process_settings& settings, packet_format format,
    load_packet_settings load, server_protocol protocol, const open_store& open)
    : settings_(settings),
      process_(settings, std::move(format), std::move(load)),
      protocol_(std::move(protocol)),
      store_(open(process_.context(), process_.events())),
      from_server_(process_.context()),
      presence_(process_.context(), settings.server,
                [this](millis now, millis started)
                {
                    core_.on_server_not_found(now, started);
                }),
      heartbeats_(process_.context(),
                  [this](const http_request& request)
                  {
                      return answer_server(request);
                  }),
      core_(process_.members(), agent_settings_of(settings), make_agent_hooks(),
            clock::now())
{
}

auto packet_agent_daemon::make_agent_hooks() -> packet_hooks
{
    auto out = process_.make_packet_hooks();
    out.send_to_server = [this](const flow_packet& packet)
    {
        process_.format().write(packet, {},
                                from_server_.queue(settings_.server));
    };
    out.look_for_server = [this](millis now)
    {
        presence_.check(now);
    };
    out.record_queue_wait = [this](millis span)
    {
        waits_.add(span);
    };
    out.record_answer_time = [this](millis span)
    {
        answers_.add(span);
    };
    return out;
}

auto packet_agent_daemon::start() -> absl::Status
{
    auto status = from_server_.open(settings_.from_server);
    if (status.ok())
    {
        status = heartbeats_.start(settings_.heartbeats);
    }
    if (!status.ok())
    {
        return status;
    }
    udp_hooks hooks;
    hooks.on_datagram = [this](const endpoint& from, byte_view bytes)
    {
        process_.read_packets(bytes, from,
                              [this](const endpoint&, const flow_packet& packet)
                              {
                                  core_.on_server_packet(clock::now(), packet);
                              });
    };
    from_server_.start(std::move(hooks));
    process_.use_directory(*store_);
    return process_.start(make_hooks());
}

auto packet_agent_daemon::run() -> int
{
    return process_.run();
}

auto packet_agent_daemon::make_hooks() -> packet_process_hooks
{
    packet_process_hooks out;
    out.on_packet = [this](const endpoint& from, const flow_packet& packet)
    {
        core_.on_packet(clock::now(), from, packet);
    };
    out.on_control = [this](const control_message& message)
    {
        core_.on_control(clock::now(), message);
    };
    out.on_member_departed = [this](millis now, const member_record& record)
    {
        core_.on_member_departed(now, record);
    };
    out.on_registered_agents =
        [this](millis now, std::span<const listed_agent> agents)
    {
        core_.on_registered_agents(now, agents);
    };
    out.on_policy = [this](millis now, const placement_policy& policy)
    {
        core_.on_policy(now, policy);
    };
    out.is_ready = [this]
    {
        return core_.server().is_known() && !core_.awaits_policy();
    };
    out.metrics = [this](metrics_text& text)
    {
        write_metrics(text);
    };
    out.loop.on_tick = [this](millis now)
    {
        core_.tick(now);
    };
    out.loop.on_stop = [this](millis now)
    {
        core_.drain(now);
    };
    out.loop.is_quiet = [this](millis)
    {
        return core_.is_drained();
    };
    return out;
}

auto packet_agent_daemon::answer_server(const http_request& request)
    -> http_response
{
    const auto said = protocol_.read(request);
    if (!said.ok())
    {
        ++bad_heartbeats_;
        const auto kind = error_kind_of(said.status());
        const auto status =
            kind == error_kind::not_found ? http_not_found : http_bad_request;
        process_.events()(
            event("heartbeat_refused", event_level::warning)
                .with("target", request.target)
                .with("why", std::string(said.status().message())));
        return {status, "text/plain", ""};
    }
    if (const auto* heartbeat = std::get_if<server_heartbeat>(&*said))
    {
        return answer_heartbeat(*heartbeat);
    }
    const auto& leave = std::get<server_leave>(*said);
    if (core_.on_leave(clock::now(), leave.server_id) == leave_outcome::doubted)
    {
        ++unconfirmed_requests_;
        return {http_conflict, "text/plain", ""};
    }
    return {http_ok, "application/json", "{}"};
}

auto packet_agent_daemon::answer_heartbeat(const server_heartbeat& heartbeat)
    -> http_response
{
    const auto status =
        check_heartbeat(heartbeat, settings_.server, clock::wall());
    if (!status.ok())
    {
        ++bad_heartbeats_;
        process_.events()(event("heartbeat_refused", event_level::warning)
                              .with("server", heartbeat.server_id)
                              .with("why", std::string(status.message())));
        return {http_bad_request, "text/plain", ""};
    }
    const auto outcome = core_.on_heartbeat(clock::now(), heartbeat);
    if (outcome == heartbeat_outcome::unconfirmed)
    {
        ++unconfirmed_requests_;
        return {http_conflict, "text/plain", ""};
    }
    if (outcome == heartbeat_outcome::outdated)
    {
        return {http_conflict, "text/plain", ""};
    }
    return {http_ok, "application/json", "{}"};
}

auto packet_agent_daemon::write_metrics(metrics_text& out) const -> void
{
    const auto& it = core_.counters();
    out.counter("flows_started_total", it.started);
    out.counter("flows_offered_on_total", it.forwarded_offers);
    out.counter("flows_settled_elsewhere_total", it.settled_elsewhere);
    out.counter("flows_queued_total", it.queued);
    out.counter("flows_refused_total", it.refused);
    out.counter("flows_expired_total", it.expired);
    out.counter("flows_reset_total", it.reset);
    out.counter("flows_unanswered_total", it.unanswered);
    out.counter("packets_relayed_total", it.relayed);
    out.counter("searches_total", it.searches);
    out.counter("searches_found_total", it.searches_found);
    out.counter("searches_failed_total", it.searches_failed);
    out.counter("searches_deferred_total", it.searches_deferred);
    out.counter("flows_lost_total", it.lost);
    out.counter("flows_undecided_total", it.undecided);
    out.counter("flow_queries_total", it.flow_queries);
    out.counter("packets_returned_total", it.returned);
    out.counter("packets_wrong_service_total", it.wrong_service);
    out.counter("packets_dropped_total", it.dropped);
    out.counter("warm_up_openings_total", it.warm_up_openings);
    out.counter("openings_held_back_total", it.openings_held_back);
    out.counter("hedges_started_total", it.hedges_started);
    out.counter("hedges_won_total", it.hedges_won);
    out.counter("hedges_lost_total", it.hedges_lost);
    out.counter("hedges_refused_total", it.hedges_refused_by_load,
                {"reason", "no_idle_slot"});
    out.counter("hedges_refused_total", it.hedges_of_known_flows,
                {"reason", "flow_known"});
    out.counter("heartbeats_refused_total", bad_heartbeats_);
    out.counter("server_requests_unconfirmed_total", unconfirmed_requests_);
    if (settings_.judge_server)
    {
        write_conduct_metrics(out);
    }
    out.histogram("flow_wait_ms", waits_);
    out.histogram("flow_answer_ms", answers_);
    out.gauge("flows", core_.flow_count());
    out.gauge("flows_busy", core_.admission().busy());
    out.gauge("flows_waiting", core_.admission().waiting());
    if (settings_.evacuation_deadline.has_value())
    {
        out.gauge("agent_evacuated", core_.is_evacuated() ? 1 : 0);
        out.gauge("agent_awaits_policy", core_.awaits_policy() ? 1 : 0);
    }
}

auto packet_agent_daemon::write_conduct_metrics(metrics_text& out) const -> void
{
    const auto report = core_.conduct().report();
    out.counter("server_found_faulty_total", core_.counters().found_faulty);
    out.gauge("server_faulty", core_.conduct().is_faulty() ? 1 : 0);
    out.gauge("server_intake_reduced", core_.intake().is_reduced() ? 1 : 0);
    out.gauge("server_window_requests", report.requests);
    out.gauge("server_window_unanswered", report.unanswered);
    out.gauge("server_window_broken_off", report.broken_off);
    out.gauge("server_answer_limit_ms", as_count(report.answer_limit));
}

} // namespace briardrum
