// Two balancers, two agents each of two services, clients that keep their flows
// open between requests. The operator moves the route to the other service,
// which leaves open flows where they are; then every process of the system is
// stopped and started in turn, and after it each client sends its next request.
// With HERD=1 all processes are killed at the same moment instead.
// Judges FLOW (b): for reorderWindowMs three or more of a flow's packets reach
// other servers and none its own.
#include "site.h"

constexpr int flow_count = 8;
constexpr std::int64_t window_ms = 2000;
// What a client waits for an answer, as load-confirm on salinecarri-lb.
constexpr int deadline_ms = 2500;

int main(int argc, char** argv)
{
    deployment site(argc, argv);
    const bool trouble = std::getenv("TROUBLE") == nullptr ||
                         std::string(std::getenv("TROUBLE")) != "0";
    site.service_names = {"orders", "archive"};
    const route_spec before{site.route_at(1), "orders", "non_idempotent",
                            deadline_ms};
    auto after = before;
    after.service = "archive";
    site.configure(3, {before});
    site.grace_s = 2;
    site.add_balancer(1);
    site.add_balancer(2);
    const char* services[] = {"orders", "orders", "archive", "archive"};
    for (int n = 1; n <= 4; ++n)
    {
        site.add_agent(n, services[n - 1]);
    }
    loop.run_for(500);

    struct arrival
    {
        std::int64_t at;
        std::string where;
    };
    std::map<flow_key, std::vector<arrival>> arrivals;
    std::map<flow_key, std::string> owners;
    int runs = 0;
    const auto answer = [&](server& at, const flow_key& key,
                            const std::string& request)
    {
        ++runs;
        owners[key] = at.id;
        note("server %s runs %s", at.id.c_str(),
             request.substr(request.rfind(' ') + 1).c_str());
        loop.after(30,
                   [&at, key]
                   {
                       if (auto* it = at.flow(key))
                       {
                           it->out.write("HTTP/1.1 200 OK\r\n"
                                         "Content-Length: 2\r\n\r\nok");
                       }
                   });
    };
    for (int n = 1; n <= 4; ++n)
    {
        auto& it = site.add_server(n, services[n - 1]);
        it.run = answer;
        it.slots = 16;
        it.seen = [&](const server& at, const packet& in)
        {
            if (!in.has(flag_syn))
            {
                arrivals[{in.source, in.destination}].push_back(
                    {now_ms(), at.id});
            }
        };
        it.start(site.net);
    }
    site.wait_until_ready(2);

    std::vector<client_flow*> flows;
    for (int n = 0; n < flow_count; ++n)
    {
        auto& it = site.callers.add(site.route_at(1));
        flows.push_back(&it);
        it.begin();
        it.request("POST /orders HTTP/1.1\r\nX-Attempt-Id: " +
                   std::to_string(n) + "-first");
        loop.run_for(50);
    }
    loop.run_for(500);
    if (runs != flow_count)
    {
        note("cannot run: not every flow opened");
        return 2;
    }
    const auto idle_since = now_ms();
    site.configure(5, {after});
    loop.run_for(1000);
    if (trouble && std::getenv("HERD") != nullptr)
    {
        note("platform: SIGKILL to all processes of the system");
        for (auto& [name, it] : site.processes)
        {
            it->signal(SIGKILL);
        }
        loop.run_for(500);
        for (auto& [name, it] : site.processes)
        {
            it->end();
            it->start();
            note("%s starts as process %d", name.c_str(), int(it->pid));
        }
    }
    else if (trouble)
    {
        // Every machine in turn: SIGTERM, SIGKILL after graceS, and a start.
        for (const char* name : {"agent-3", "agent-4", "agent-1", "agent-2",
                                 "balancer-1", "balancer-2"})
        {
            auto& it = *site.processes[name];
            const auto stopped_at = now_ms();
            note("platform: SIGTERM to %s", name);
            it.signal(SIGTERM);
            loop.run_until([&] { return !it.running(); }, 2000);
            it.signal(SIGKILL);
            loop.run_until([&] { return !it.running(); }, 1000);
            it.start();
            note("%s starts as process %d", name, int(it.pid));
            loop.run_for(300);
            // Another one every 1.2 s at most.
            loop.run_until([&] { return now_ms() - stopped_at >= 1200; },
                           1200);
        }
    }
    // Until the router has seen the last balancer ready again.
    loop.run_until([&] { return now_ms() - idle_since > 12500; }, 20000);
    const auto asked_at = now_ms();
    note("clients: next request on each flow, idle for %.1f s of 15 s",
         double(asked_at - idle_since) / 1000);
    std::map<flow_key, std::string> own = owners;
    for (int n = 0; n < flow_count; ++n)
    {
        flows[n]->received.clear();
        flows[n]->request("POST /orders HTTP/1.1\r\nX-Attempt-Id: " +
                          std::to_string(n) + "-second");
    }
    loop.run_for(deadline_ms);
    // A client gives up at its deadline.
    const auto end = now_ms();
    for (auto* it : flows)
    {
        it->ended = true;
    }

    int broken = 0;
    for (auto* it : flows)
    {
        const flow_key key{it->own, it->route};
        std::vector<std::int64_t> others;
        std::string names;
        std::optional<std::int64_t> own_at;
        for (const auto& row : arrivals[key])
        {
            if (row.at < asked_at || row.at > end)
            {
                continue;
            }
            if (row.where == own[key])
            {
                own_at = own_at.value_or(row.at);
            }
            else if (!own_at.has_value())
            {
                others.push_back(row.at);
                names += " " + row.where + "@" +
                         std::to_string(row.at - asked_at);
            }
        }
        // The window begins with the request; the server's idle flow had no
        // packet before it.
        int within = 0;
        for (const auto at : others)
        {
            within += at - asked_at <= window_ms ? 1 : 0;
        }
        const auto none_for = own_at.value_or(end) - asked_at;
        note("client %s, flow open at %s: %s; its own server got the first "
             "packet after %s ms; other servers (ms after the request):%s",
             text(it->own).c_str(), own[key].c_str(),
             it->reset ? "reset"
             : it->received.empty() ? "no answer within 2.5 s"
                                    : "answered",
             own_at.has_value() ? std::to_string(none_for).c_str()
                                : "more than 2500",
             names.c_str());
        broken += within >= 3 && none_for >= window_ms ? 1 : 0;
    }
    for (const auto& at : site.servers)
    {
        note("server %s lives, and holds %zu open flows", at->id.c_str(),
             at->open_flows());
    }
    note("FLOW (b): %d of %d flows broken", broken, flow_count);
    return broken > 0 ? 1 : 0;
}
