// Two balancers, two agents each of two services, clients that keep their flows
// open and download on them. The operator moves the route to the other service,
// which leaves open flows where they are; then the agents of that service and the
// balancers are stopped and started in turn, the last balancer while the clients
// download. Judges FLOW (b): for reorderWindowMs three or more of a flow's packets
// reach other servers and none its own.
#include "site.h"

constexpr int flow_count = 12;
// What a client waits for a download, as lading-pull on salinecarri-lb.
constexpr int deadline_ms = 5000;
constexpr std::int64_t window_ms = 2000;

struct arrival
{
    std::int64_t at;
    bool own;
    std::string where;
};

int main(int argc, char** argv)
{
    deployment site(argc, argv);
    const bool trouble = std::getenv("TROUBLE") == nullptr ||
                         std::string(std::getenv("TROUBLE")) != "0";
    site.service_names = {"docs", "archive"};
    const route_spec before{site.route_at(1), "docs", "download", deadline_ms};
    auto after = before;
    after.service = "archive";
    site.configure(3, {before});
    site.grace_s = 2;
    site.add_balancer(1);
    site.add_balancer(2);
    const char* services[] = {"docs", "docs", "archive", "archive"};
    for (int n = 1; n <= 4; ++n)
    {
        site.add_agent(n, services[n - 1]);
    }
    loop.run_for(500);

    std::map<flow_key, std::vector<arrival>> arrivals;
    std::map<flow_key, std::string> owners;
    // The first request of a flow is answered at once. A download has 67 packets,
    // as the mean of lading-pull, and is made while it is sent: one every 60 ms.
    constexpr int packets = 67;
    std::map<flow_key, std::int64_t> given_up;
    const auto stream = [&](server& at, const flow_key& key,
                            const std::string& request)
    {
        owners[key] = at.id;
        if (request.find("GET /hello") == 0)
        {
            at.flow(key)->out.write("HTTP/1.1 200 OK\r\n"
                                    "Content-Length: 0\r\n\r\n");
            return;
        }
        auto left = std::make_shared<int>(packets);
        auto task = std::make_shared<std::function<void()>>();
        *task = [&at, key, left, task]
        {
            auto* it = at.flow(key);
            if (it == nullptr || it->ended || (*left)-- <= 0)
            {
                return;
            }
            it->out.write(std::string(data_max, 'x'));
            loop.after(60, *task);
        };
        (*task)();
    };
    const auto seen = [&](const server& at, const packet& in)
    {
        if (in.has(flag_syn))
        {
            return;
        }
        const flow_key key{in.source, in.destination};
        const auto owner = owners.find(key);
        arrivals[key].push_back(
            {now_ms(), owner == owners.end() || owner->second == at.id,
             at.id});
    };
    for (int n = 1; n <= 4; ++n)
    {
        auto& it = site.add_server(n, services[n - 1]);
        it.run = stream;
        it.seen = seen;
        it.slots = 16;
        it.start(site.net);
    }
    site.wait_until_ready(2);

    std::vector<client_flow*> flows;
    for (int n = 0; n < flow_count; ++n)
    {
        auto& it = site.callers.add(site.route_at(1));
        flows.push_back(&it);
        it.begin();
        it.request("GET /hello HTTP/1.1\r\nX-Attempt-Id: hello-" +
                   std::to_string(n));
        loop.run_for(50);
    }
    loop.run_for(500);
    for (auto* it : flows)
    {
        if (!it->open || it->received.empty())
        {
            note("cannot run: not every flow opened");
            return 2;
        }
    }
    site.configure(5, {after});
    loop.run_for(1000);
    // SIGTERM, SIGKILL after graceS, and a start.
    const auto restart = [&](const char* name)
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
        loop.run_until([&] { return now_ms() - stopped_at >= 1200; }, 1200);
    };
    const auto idle_since = now_ms();
    if (trouble)
    {
        for (const char* name : {"agent-3", "agent-4", "balancer-1"})
        {
            restart(name);
        }
    }
    loop.run_until([&] { return now_ms() - idle_since > 8000; }, 10000);
    note("clients: a download on each flow");
    const auto asked_at = now_ms();
    for (int n = 0; n < flow_count; ++n)
    {
        flows[n]->received.clear();
        flows[n]->request("GET /bill HTTP/1.1\r\nX-Attempt-Id: bill-" +
                          std::to_string(n));
    }
    loop.run_for(200);
    if (trouble)
    {
        restart("balancer-2");
    }
    loop.run_until(
        [&]
        {
            for (auto* it : flows)
            {
                if (!it->ended && it->received.size() < packets * data_max)
                {
                    return false;
                }
            }
            return true;
        },
        asked_at + deadline_ms - now_ms());
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
        // The longest time without a packet at the flow's own server, and what
        // reached other servers in it.
        std::int64_t from = asked_at, worst_from = 0, worst_to = 0;
        int others = 0, worst = 0;
        const auto close_gap = [&](std::int64_t to)
        {
            if (to - from >= window_ms && others > worst)
            {
                worst = others;
                worst_from = from;
                worst_to = to;
            }
        };
        std::set<std::string> where;
        for (const auto& row : arrivals[key])
        {
            if (row.at < asked_at || row.at > end)
            {
                continue;
            }
            if (row.own)
            {
                close_gap(row.at);
                from = row.at;
                others = 0;
            }
            else
            {
                ++others;
                where.insert(row.where);
            }
        }
        close_gap(end);
        // Three within a window of 2 s, not over the whole gap.
        bool dense = false;
        std::vector<std::int64_t> times;
        for (const auto& row : arrivals[key])
        {
            if (!row.own && row.at >= worst_from && row.at <= worst_to)
            {
                times.push_back(row.at);
            }
        }
        for (std::size_t n = 2; n < times.size(); ++n)
        {
            dense = dense || times[n] - times[n - 2] <= window_ms;
        }
        std::string names;
        for (const auto& name : where)
        {
            names += " " + name;
        }
        note("client %s, flow open at %s: received %zu of %d bytes by its "
             "deadline%s",
             text(it->own).c_str(), owners[key].c_str(), it->received.size(),
             int(packets * data_max), worst >= 3 ? ";" : "");
        if (worst >= 3)
        {
            note("    none of its packets at its own server from %.3f s to "
                 "%.3f s, %d at other servers (%s )",
                 double(worst_from - started_ms) / 1000,
                 double(worst_to - started_ms) / 1000, worst, names.c_str());
        }
        broken += worst >= 3 && dense ? 1 : 0;
    }
    note("FLOW (b): %d of %d flows broken", broken, flow_count);
    return broken > 0 ? 1 : 0;
}
