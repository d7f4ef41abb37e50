#include "review_site.h"

using namespace review;

// Connections to the store go silent, new ones work; a change of the
// configuration is acknowledged right after. Is it in force in time?
namespace
{

constexpr std::int64_t config_apply_ms = 3000;
constexpr std::int64_t stable_window_ms = 4000;
// Sent this much later than the bounds, so that no rounding decides.
constexpr std::int64_t margin_ms = 50;
constexpr int route_port = 8443;

auto route_text(const std::string& host, const std::string& service)
    -> std::string
{
    return "{\"name\":\"r-" + host + "\",\"host\":\"" + host +
           "\",\"prefix\":\"/8443/"
           "\",\"type\":\"idempotent\",\"timeoutMs\":4000,"
           "\"targetLatencyMs\":250,\"priority\":2,\"service\":\"" +
           service + "\",\"maxAttempts\":2}";
}

// Version number * 3, with this many routes.
auto configuration(int number, int routes) -> std::string
{
    std::string list;
    for (int n = 1; n <= routes; ++n)
    {
        list += (n > 1 ? "," : "") +
                route_text("198.18.0." + std::to_string(n), "orders");
    }
    return "{\"version\":" + std::to_string(number * 3) + ",\"routes\":[" +
           list +
           "],\"services\":[{\"name\":\"orders\",\"healthPath\":\"/health\","
           "\"maxConns\":2000,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{"
           "\"idleTimeoutMs\":15000}}";
}

// Sends an opening packet to this route. Returns what came back.
auto open(caller& from, const std::string& balancer, int route,
          std::int64_t wait_ms) -> std::string
{
    auto it = from.make(from.next_port(), "198.18.0." + std::to_string(route),
                        route_port);
    it.flags = flag_syn;
    it.sequence = 0x11223344;
    from.send(balancer, it);
    const auto got = from.wait(it.source_port, wait_ms,
                               [](const packet&)
                               {
                                   return true;
                               });
    if (!got.has_value())
    {
        return "no response";
    }
    return got->has(flag_rst) ? "reset" : "SYN+ACK";
}

} // namespace

auto main(int argc, char** argv) -> int
{
    if (argc != 5)
    {
        return 2;
    }
    now_ms();
    const std::string folder = argv[1];
    const auto trouble = std::string(argv[4]) != "0";
    record log(folder + "/record.txt");
    const std::string store_ip = "127.64.4.1";
    const std::string caller_ip = "127.64.3.1";
    const std::vector<std::string> balancers = {"127.64.1.1", "127.64.1.2"};
    const std::vector<std::string> agents = {"127.64.2.1", "127.64.2.2",
                                             "127.64.2.3"};
    auto all = balancers;
    all.insert(all.end(), agents.begin(), agents.end());
    all.push_back(store_ip);
    all.push_back(caller_ip);
    const auto used = free_ports(all);
    store platform;
    caller client;
    if (used.base == 0 || !platform.start(store_ip, used.platform()) ||
        !client.start(caller_ip, used))
    {
        log.line("no free ports");
        return 2;
    }
    platform.put("op/config", configuration(1, 1));
    processes programs(folder, used, store_ip, argv[2], argv[3]);
    std::string seeds;
    for (const auto& ip : balancers)
    {
        seeds += (seeds.empty() ? "" : ",") + ip + ":" +
                 std::to_string(used.control());
    }
    std::vector<std::unique_ptr<server>> servers;
    for (std::size_t n = 0; n < balancers.size(); ++n)
    {
        const auto name = "balancer-" + std::to_string(n + 1);
        programs.write_settings(name, balancers[n], seeds, "");
        programs.start(name, false);
    }
    for (std::size_t n = 0; n < agents.size(); ++n)
    {
        const auto name = "agent-" + std::to_string(n + 1);
        programs.write_settings(name, agents[n], seeds, "orders");
        programs.start(name, true);
        servers.push_back(
            std::make_unique<server>(agents[n], used, "orders", log));
        if (!servers.back()->start())
        {
            log.line("a server cannot be bound");
            return 2;
        }
    }
    const auto end = [&](int code)
    {
        programs.stop_all();
        std::_Exit(code);
    };
    for (int n = 0; n < 100; ++n)
    {
        sleep_ms(100);
        bool ready = true;
        for (const auto& ip : balancers)
        {
            ready = ready && http_call(ip, used.ready(), "GET /v1/readiness",
                                       "", 400) == 200;
        }
        for (const auto& it : servers)
        {
            ready = ready && it->is_known();
        }
        if (ready)
        {
            break;
        }
    }
    // All machines are in touch after this.
    sleep_ms(stable_window_ms + 1000);
    for (const auto& ip : balancers)
    {
        const auto got = open(client, ip, 1, 400);
        log.line("opening packet to route 1 through %s: %s", ip.c_str(),
                 got.c_str());
        if (got != "SYN+ACK")
        {
            end(2);
        }
    }

    platform.put("op/config", configuration(2, 2));
    log.line("operator: version 6 with route 2, acknowledged");
    sleep_ms(50);
    const auto silenced_at = now_ms();
    if (trouble)
    {
        const auto n = platform.silence_open_connections();
        log.line("disruption: %d open connections to the store go silent, new "
                 "ones work",
                 n);
    }
    sleep_ms(150);
    platform.put("op/config", configuration(3, 3));
    const auto acknowledged_at = now_ms();
    log.line("operator: version 9 with route 3, acknowledged");

    const auto owed_from =
        std::max(acknowledged_at + config_apply_ms,
                 trouble ? silenced_at + stable_window_ms : 0) +
        margin_ms;
    log.line("from here on route 3 must be in force: at %lld ms",
             static_cast<long long>(owed_from));
    int refused = 0;
    std::map<std::string, std::int64_t> served_from;
    while (now_ms() < acknowledged_at + 12000)
    {
        for (const auto& ip : balancers)
        {
            const auto sent_at = now_ms();
            const auto got = open(client, ip, 3, 60);
            const auto late = sent_at >= owed_from;
            if (got == "SYN+ACK" && !served_from.contains(ip))
            {
                served_from[ip] = sent_at;
                log.line("%s serves route 3, %lld ms after the acknowledgement",
                         ip.c_str(),
                         static_cast<long long>(sent_at - acknowledged_at));
            }
            if (got == "reset" && late)
            {
                ++refused;
                log.line("BROKEN: sent %lld ms after the acknowledgement to "
                         "route 3 through %s, refused with a reset",
                         static_cast<long long>(sent_at - acknowledged_at),
                         ip.c_str());
            }
        }
        sleep_ms(20);
        if (served_from.size() == balancers.size() &&
            now_ms() > owed_from + 500)
        {
            break;
        }
    }
    if (programs.any_ended() || served_from.size() != balancers.size())
    {
        log.line("a process ended, or route 3 was never served");
        end(programs.any_ended() ? 2 : 1);
    }
    log.line("refused as only an older version allows: %d", refused);
    end(refused > 0 ? 1 : 0);
    return 2;
}
