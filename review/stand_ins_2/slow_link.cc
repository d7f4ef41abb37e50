// A balancer whose link has 10 Mbit/s, another one whose link is fast, two agents.
// The configuration grows by many routes, configurations come in quick succession,
// and then one adds a route. Judges CONFIG: a balancer that is in touch and ready
// refuses the route with a reset later than configApplyMs after the
// acknowledgement.
#include "site.h"

constexpr std::size_t link_bytes_per_s = 10'000'000 / 8;
constexpr std::size_t value_bytes_max = 1048576;
constexpr int routes_per_step = 1400;
constexpr int steps = 4;

struct probe
{
    int balancer;
    std::int64_t sent_at;
    client_flow* flow;
};

int main(int argc, char** argv)
{
    deployment site(argc, argv);
    const bool trouble = std::getenv("TROUBLE") == nullptr ||
                         std::string(std::getenv("TROUBLE")) != "0";
    site.service_names = {"orders"};
    site.config_apply_ms = 5000;
    site.stable_window_ms = 5000;
    std::vector<route_spec> routes = {{site.route_at(1), "orders"}};
    int version = 3;
    site.configure(version, routes);
    const address slow_store{site.net.ip(4, 2), site.net.port(6)};
    site.store.serve_slowly(slow_store, link_bytes_per_s);
    site.other_store = slow_store;
    site.link_mbps = 10;
    site.add_balancer(1);
    site.other_store.reset();
    site.link_mbps = 1000;
    site.add_balancer(2);
    for (int n = 1; n <= 2; ++n)
    {
        site.add_agent(n, "orders");
    }
    loop.run_for(500);
    for (int n = 1; n <= 2; ++n)
    {
        auto& it = site.add_server(n, "orders");
        it.slots = 8;
        it.run = [](server& at, const flow_key& key, const std::string&)
        {
            at.flow(key)->out.write(
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        };
        it.start(site.net);
    }
    site.wait_until_ready(2);
    std::size_t bytes = 0;
    if (trouble)
    {
        for (int step = 0; step < steps; ++step)
        {
            for (int n = 0; n < routes_per_step; ++n)
            {
                const auto k = std::uint32_t(step * routes_per_step + n);
                routes.push_back(
                    {{(127U << 24U) | (250U << 16U) | (k / 16),
                      std::uint16_t(8000 + k % 16)},
                     "orders"});
            }
            bytes = site.configure(version += 2, routes);
            loop.run_for(4000);
        }
    }
    if (bytes > value_bytes_max)
    {
        note("cannot run: the configuration is larger than valueBytes");
        return 2;
    }
    note("operator: configurations in quick succession, every 330 ms for 4 s");
    for (int n = 0; n < 12; ++n)
    {
        routes[0].timeout_ms = 2000 + n;
        site.configure(version += 2, routes);
        loop.run_for(330);
    }
    loop.run_for(3000);
    routes.push_back({site.route_at(2), "orders"});
    site.configure(version += 2, routes);
    const auto acknowledged = now_ms();
    loop.run_for(site.config_apply_ms + 50);

    std::vector<probe> probes;
    for (int n = 0; n < 15; ++n)
    {
        for (const int balancer : {1, 2})
        {
            if (!site.is_ready(balancer))
            {
                continue;
            }
            auto& it = site.callers.add(site.route_at(2));
            probes.push_back({balancer, now_ms(), &it});
            // The platform sends these flows to one daemon.
            site.routers.direct = site.net.front(balancer);
            it.begin();
            it.request("GET / HTTP/1.1\r\nX-Attempt-Id: p-" +
                       std::to_string(probes.size()));
            loop.run_for(100);
            site.routers.direct.reset();
        }
    }
    loop.run_for(200);
    int refused[3] = {}, served[3] = {}, silent[3] = {};
    for (const auto& it : probes)
    {
        const auto reset = it.flow->reset && it.flow->reset_by_system;
        ++(reset ? refused : it.flow->received.empty() ? silent
                                                       : served)[it.balancer];
    }
    for (const int balancer : {1, 2})
    {
        note("balancer-%d (%s link), %d to %d ms after the acknowledgement: %d "
             "served, %d refused with a reset, %d without an answer",
             balancer, balancer == 1 ? "10 Mbit/s" : "fast",
             site.config_apply_ms + 50, int(now_ms() - acknowledged),
             served[balancer], refused[balancer], silent[balancer]);
    }
    if (served[2] == 0)
    {
        note("cannot run: the other balancer does not serve the route");
        return 2;
    }
    const auto broken = refused[1] + refused[2];
    note("CONFIG: %d requests refused though the route is there", broken);
    return broken > 0 ? 1 : 0;
}
