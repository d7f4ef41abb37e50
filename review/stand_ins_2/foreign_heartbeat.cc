// Two balancers, three agents with their servers, clients with open flows. A
// heartbeat of another writer arrives, for a service that the configuration
// does not name. Judges FLOW: a client is reset by the system while its
// server lives.
#include "site.h"

int main(int argc, char** argv)
{
    deployment site(argc, argv);
    const bool trouble = std::getenv("TROUBLE") == nullptr ||
                         std::string(std::getenv("TROUBLE")) != "0";
    site.service_names = {"orders", "surveys"};
    site.configure(3, {{site.route_at(1), "orders"},
                       {site.route_at(2), "surveys"}});
    site.add_balancer(1);
    site.add_balancer(2);
    const auto answer = [](server& at, const flow_key& key,
                           const std::string& request)
    {
        loop.after(30,
                   [&at, key, request]
                   {
                       if (auto* it = at.flow(key))
                       {
                           const auto body = at.service + " " + request;
                           it->out.write("HTTP/1.1 200 OK\r\nContent-Length: " +
                                         std::to_string(body.size()) +
                                         "\r\n\r\n" + body);
                       }
                   });
    };
    const char* services[] = {"orders", "orders", "surveys"};
    for (int n = 1; n <= 3; ++n)
    {
        site.add_agent(n, services[n - 1]);
    }
    loop.run_for(500);
    for (int n = 1; n <= 3; ++n)
    {
        auto& it = site.add_server(n, services[n - 1]);
        it.run = answer;
        it.slots = 16;
        it.start(site.net);
    }
    site.wait_until_ready(2);

    std::vector<client_flow*> flows;
    std::vector<int> asked(24), answered(24);
    for (int n = 0; n < 24; ++n)
    {
        auto& it = site.callers.add(site.route_at(n % 3 == 2 ? 2 : 1));
        it.on_data = [&answered, n](client_flow& row)
        {
            const auto head = row.received.find("\r\n\r\n");
            const auto tail = "request-" + std::to_string(n) + "-";
            if (head != std::string::npos &&
                row.received.find(tail, head) != std::string::npos)
            {
                ++answered[n];
                row.received.clear();
            }
        };
        flows.push_back(&it);
        it.begin();
        loop.run_for(50);
    }
    // Each client asks once a second on its flow.
    std::function<void()> ask = [&]
    {
        for (int n = 0; n < 24; ++n)
        {
            if (!flows[n]->ended)
            {
                flows[n]->request("GET / HTTP/1.1\r\nX-Attempt-Id: request-" +
                                  std::to_string(n) + "-" +
                                  std::to_string(++asked[n]));
            }
        }
        loop.after(1000, ask);
    };
    loop.after(100, ask);
    loop.run_for(8000);
    const auto report = [&](const char* when)
    {
        int open = 0, all = 0, got = 0;
        for (int n = 0; n < 24; ++n)
        {
            open += flows[n]->open && !flows[n]->ended ? 1 : 0;
            all += asked[n];
            got += answered[n];
        }
        note("%s: %d flows open, %d requests asked, %d answered", when, open,
             all, got);
        return open;
    };
    const auto open_before = report("before");
    if (open_before != 24)
    {
        note("cannot run: not every flow opened");
        return 2;
    }
    if (trouble)
    {
        auto& at = *site.servers[0];
        json body = at.heartbeat_body();
        body["service"] = "invoices";
        body["sequence"] = 1;
        body["born"] = wall_ms();
        note("another writer: heartbeat of i-other, service invoices, which "
             "the configuration does not name, to the agent of i-1");
        at.heartbeat("i-other", body,
                     [](int status)
                     { note("another writer: answered with %d", status); });
    }
    loop.run_for(6000);
    report("after");
    int broken = 0;
    for (int n = 0; n < 24; ++n)
    {
        const auto& it = *flows[n];
        if (it.reset)
        {
            bool by_server = false;
            for (const auto& at : site.servers)
            {
                by_server = by_server ||
                            at->resets_sent.contains({it.own, it.route});
            }
            note("client %s: reset at %.3f s, %s; a server reset this flow: %s",
                 text(it.own).c_str(),
                 double(it.reset_at - started_ms) / 1000,
                 it.reset_by_system ? "a reset of the system's own (sum 0)"
                                    : "a reset with a sum",
                 by_server ? "yes" : "no");
            broken += it.reset_by_system && !by_server ? 1 : 0;
        }
    }
    for (const auto& at : site.servers)
    {
        note("server %s lived throughout, and holds %zu open flows",
             at->id.c_str(), at->open_flows());
    }
    note("FLOW: %d open flows were reset by the system", broken);
    return broken > 0 ? 1 : 0;
}
