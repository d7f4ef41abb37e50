#include "stand_ins/packet_site/other_writer.hpp"
#include "stand_ins/packet_site/platform_store.hpp"
#include "stand_ins/packet_site/site_callers.hpp"
#include "stand_ins/packet_site/site_operator.hpp"
#include "stand_ins/packet_site/site_server.hpp"
#include "stand_ins/shared/command_line.hpp"

#include <chrono>
#include <csignal>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>

using namespace briardrum;
using namespace briardrum::stand_in;

namespace
{

// Ports are the same on every VM.
struct site_ports
{
    std::uint16_t packets = 0;
    std::uint16_t readiness = 0;
    std::uint16_t control = 0;
    std::uint16_t outbound = 0;
    std::uint16_t app = 0;
};

struct site_options
{
    endpoint store;
    std::uint32_t balancers = 3;
    std::uint32_t agents = 4;
    std::uint16_t port_base = 24000;
    std::int64_t seconds = 6;
    double per_second = 200;
    bool store_outage = false;
    std::uint32_t evacuate_ms = 0;
    std::uint32_t other_writer_ms = 0;
    std::uint64_t seed = 1;
};

constexpr std::uint32_t balancer_network = 0x7f010000; // 127.1.0.0
constexpr std::uint32_t agent_network = 0x7f020000;    // 127.2.0.0
constexpr endpoint orders_route{0xc6120001, 443};
constexpr endpoint surveys_route{0xc6120002, 443};
constexpr std::int64_t settle_seconds = 3;

auto ports_of(std::uint16_t base) -> site_ports
{
    const auto at = [&](int n)
    {
        return static_cast<std::uint16_t>(base + n);
    };
    return {at(0), at(1), at(2), at(3), at(4)};
}

auto route_text(const endpoint& route, const std::string& service)
    -> nlohmann::json
{
    const auto text = to_string(route);
    const auto colon = text.find(':');
    return {{"name", service},
            {"host", text.substr(0, colon)},
            {"prefix", "/" + text.substr(colon + 1) + "/"},
            {"type", "idempotent"},
            {"priority", 2},
            {"service", service}};
}

auto configuration_text(std::uint64_t version) -> std::string
{
    const nlohmann::json out = {{"version", version},
                                {"routes",
                                 {route_text(orders_route, "orders"),
                                  route_text(surveys_route, "surveys")}},
                                {"services", nlohmann::json::array()},
                                {"limits", {{"idleTimeoutMs", 15000}}}};
    return out.dump();
}

auto run_for(asio::io_context& context, std::int64_t seconds) -> void
{
    context.run_for(std::chrono::seconds(seconds));
}

// Each SIGUSR1 restores the store from an older copy.
auto restore_on_signal(asio::signal_set& signals, site_operator& operators)
    -> void
{
    signals.async_wait(
        [&signals, &operators](const asio::error_code& ec, int)
        {
            if (!ec)
            {
                operators.restore();
                restore_on_signal(signals, operators);
            }
        });
}

} // namespace

// Stands in for the users' platform on loopback: its store, its operators, its
// fabric with callers, and the backend servers beside the agents. Every second
// server is the surveys', the others are the orders'.
auto main(int argc, char** argv) -> int
{
    site_options options;
    CLI::App app{"Stands in for the users' platform: store, callers, servers."};
    add_endpoint(app, "--store", options.store, "the store's address")
        ->required();
    app.add_option("--balancers", options.balancers, "balancers, 127.1.0.1 on");
    app.add_option("--agents", options.agents, "agents, 127.2.0.1 on");
    app.add_option("--port-base", options.port_base, "first port of every VM");
    app.add_option("--seconds", options.seconds, "how long callers ask");
    app.add_option("--per-second", options.per_second, "requests a second");
    app.add_flag("--store-outage", options.store_outage,
                 "the store is down in the middle third");
    app.add_option("--evacuate-ms", options.evacuate_ms,
                   "a data centre is evacuated from the first second until two "
                   "thirds are over, and gets no flow after this time");
    app.add_option("--other-writer-ms", options.other_writer_ms,
                   "interval between heartbeats and leave calls of another "
                   "writer, until two thirds are over");
    app.add_option("--seed", options.seed, "of the other writer");
    CLI11_PARSE(app, argc, argv);

    const auto ports = ports_of(options.port_base);
    platform_store store;
    if (!store.start(options.store))
    {
        std::fprintf(stderr, "packet_site: --store cannot be bound\n");
        return 1;
    }
    asio::io_context context;
    site_operator operators(context, store, configuration_text);
    asio::signal_set restore_requests(context, SIGUSR1);
    restore_on_signal(restore_requests, operators);
    std::map<std::string, std::uint64_t> runs;
    site_servers servers;
    for (std::uint32_t n = 0; n < options.agents; ++n)
    {
        const auto address = agent_network + n + 1;
        site_server_settings settings;
        settings.service_name = n % 2 == 1 ? "surveys" : "orders";
        settings.local = {address, ports.app};
        settings.outbound = {address, ports.outbound};
        settings.control = {address, ports.control};
        servers.push_back(
            std::make_unique<site_server>(context, settings,
                                          [&runs](const std::string& request)
                                          {
                                              ++runs[request];
                                          }));
        if (!servers.back()->start())
        {
            std::fprintf(stderr, "packet_site: a server cannot be bound\n");
            return 1;
        }
    }
    site_callers_settings settings;
    settings.local = {0x7f030001, ports.packets};
    settings.routes = {{orders_route, "orders"}, {surveys_route, "surveys"}};
    settings.per_second = options.per_second;
    for (std::uint32_t n = 0; n < options.balancers; ++n)
    {
        const auto address = balancer_network + n + 1;
        settings.balancers.push_back(
            {{address, ports.packets}, {address, ports.readiness}});
    }
    site_callers callers(context, settings);
    if (!callers.start())
    {
        std::fprintf(stderr, "packet_site: callers cannot be bound\n");
        return 1;
    }
    for (int n = 0; n < 100 && callers.ready_balancers() == 0; ++n)
    {
        context.run_for(std::chrono::milliseconds(100));
    }
    run_for(context, 1);
    std::printf("event=site_ready balancers=%zu\n", callers.ready_balancers());
    std::fflush(stdout);
    callers.begin();
    std::optional<site_evacuation> evacuation;
    if (options.evacuate_ms > 0)
    {
        evacuation.emplace(context, operators, servers,
                           std::chrono::milliseconds(options.evacuate_ms));
    }
    std::optional<other_writer> writer;
    if (options.other_writer_ms > 0)
    {
        writer.emplace(context, servers,
                       std::chrono::milliseconds(options.other_writer_ms),
                       options.seed);
    }
    run_for(context, options.seconds / 3);
    operators.set_outage(options.store_outage);
    servers.front()->drain();
    run_for(context, options.seconds / 3);
    operators.set_outage(false);
    if (evacuation.has_value())
    {
        evacuation->end();
    }
    if (writer.has_value())
    {
        writer->end();
    }
    operators.change();
    run_for(context, options.seconds / 3);
    callers.end();
    run_for(context, settle_seconds);

    std::uint64_t doubled = 0;
    for (const auto& [request, count] : runs)
    {
        doubled += count > 1 ? 1 : 0;
    }
    std::uint64_t changed = 0;
    for (const auto& it : servers)
    {
        changed += it->changed_packets();
    }
    const auto& it = callers.tally();
    const auto number = [](std::uint64_t value)
    {
        return static_cast<unsigned long long>(value);
    };
    std::printf("event=site_done asked=%llu answered=%llu refused=%llu "
                "unanswered=%llu wrong=%llu broken=%llu doubled=%llu "
                "changed=%llu drain_heard=%s restores=%llu version=%llu\n",
                number(it.asked), number(it.answered), number(it.refused),
                number(it.unanswered), number(it.wrong), number(it.broken),
                number(doubled), number(changed),
                servers.front()->is_leave_heard() ? "yes" : "no",
                number(operators.restores()), number(operators.version()));
    const auto evacuated = !evacuation.has_value() || evacuation->report();
    const auto served = !writer.has_value() || writer->report();
    const auto kept = evacuated && served && it.wrong == 0 && it.broken == 0 &&
                      doubled == 0 && changed == 0 && it.answered > 0 &&
                      servers.front()->is_leave_heard();
    return kept ? 0 : 1;
}
