#include "review_site.h"

using namespace review;

// All balancers and one agent are killed at the same moment and start again.
// Do flows that are open at the servers of the other agents go on?
namespace
{

constexpr std::int64_t stable_window_ms = 4000;
constexpr std::int64_t reorder_window_ms = 2000;
constexpr std::int64_t restart_delay_ms = 500;
constexpr std::int64_t margin_ms = 100;
constexpr int route_port = 8443;
constexpr int flows = 28;
// As on a small deployment.
constexpr int orders_agents = 7;
constexpr int surveys_agents = 3;
constexpr std::size_t seeds_max = 3;
const std::string route_host = "198.18.0.1";

struct open_flow
{
    std::uint16_t port = 0;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0;
    std::string server;
};

auto configuration() -> std::string
{
    return "{\"version\":3,\"routes\":[{\"name\":\"r-1\",\"host\":\"" +
           route_host +
           "\",\"prefix\":\"/8443/"
           "\",\"type\":\"idempotent\",\"timeoutMs\":4000,"
           "\"targetLatencyMs\":250,\"priority\":2,\"service\":\"orders\","
           "\"maxAttempts\":2}],\"services\":[{\"name\":\"orders\","
           "\"healthPath\":\"/health\",\"maxConns\":2000,\"protocol\":\"h1\","
           "\"tls\":false}],\"limits\":{\"idleTimeoutMs\":15000}}";
}

auto any(const packet&) -> bool
{
    return true;
}

// Sends a request on an open flow. Retransmits as PROTOCOL.md says, until
// something comes back or the time is over.
auto ask(caller& from, const std::string& balancer, open_flow& it,
         const std::string& text, std::int64_t time_ms) -> std::optional<packet>
{
    auto out = from.make(it.port, route_host, route_port);
    out.flags = flag_ack;
    out.sequence = it.sequence;
    out.acknowledged = it.acknowledged;
    out.data = text;
    const auto end = now_ms() + time_ms;
    for (std::int64_t wait = 200; now_ms() < end;
         wait = std::min<std::int64_t>(1600, wait * 2))
    {
        from.send(balancer, out);
        const auto got =
            from.wait(it.port, std::min(wait, end - now_ms()),
                      [](const packet& in)
                      {
                          return in.has(flag_rst) || !in.data.empty();
                      });
        if (got.has_value())
        {
            if (!got->has(flag_rst))
            {
                it.sequence += static_cast<std::uint32_t>(text.size());
                it.acknowledged = got->sequence +
                                  static_cast<std::uint32_t>(got->data.size());
            }
            return got;
        }
    }
    return std::nullopt;
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
    const std::string store_ip = "127.65.4.1";
    const std::string caller_ip = "127.65.3.1";
    const std::vector<std::string> balancers = {"127.65.1.1", "127.65.1.2",
                                                "127.65.1.3", "127.65.1.4"};
    std::vector<std::string> agents;
    for (int n = 1; n <= orders_agents + surveys_agents; ++n)
    {
        agents.push_back("127.65.2." + std::to_string(n));
    }
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
    platform.put("op/config", configuration());
    processes programs(folder, used, store_ip, argv[2], argv[3]);
    const auto end = [&](int code)
    {
        programs.stop_all();
        std::_Exit(code);
    };
    std::string seeds;
    for (std::size_t n = 0; n < seeds_max; ++n)
    {
        seeds += (n > 0 ? "," : "") + balancers[n] + ":" +
                 std::to_string(used.control());
    }
    std::mutex mutex;
    // By port of the caller: packets at servers that do not hold the flow, and
    // requests that its own server ran, with times.
    std::map<std::uint16_t, std::vector<std::int64_t>> foreign;
    std::map<std::uint16_t, std::vector<std::int64_t>> own;
    std::vector<std::unique_ptr<server>> servers;
    const auto name_of = [](const char* kind, std::size_t n)
    {
        return std::string(kind) + "-" + std::to_string(n + 1);
    };
    for (std::size_t n = 0; n < balancers.size(); ++n)
    {
        programs.write_settings(name_of("balancer", n), balancers[n], seeds,
                                "");
        programs.start(name_of("balancer", n), false);
    }
    for (std::size_t n = 0; n < agents.size(); ++n)
    {
        const std::string service =
            n < std::size_t{orders_agents} ? "orders" : "surveys";
        programs.write_settings(name_of("agent", n), agents[n], seeds, service);
        programs.start(name_of("agent", n), true);
        servers.push_back(
            std::make_unique<server>(agents[n], used, service, log));
        servers.back()->on_run = [&](const packet& it)
        {
            const std::lock_guard lock(mutex);
            own[it.source_port].push_back(now_ms());
        };
        servers.back()->on_foreign = [&](const packet& it)
        {
            const std::lock_guard lock(mutex);
            foreign[it.source_port].push_back(now_ms());
        };
        if (!servers.back()->start())
        {
            log.line("a server cannot be bound");
            end(2);
        }
    }
    const auto started_at = now_ms();
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
    sleep_ms(stable_window_ms + 1000);

    std::vector<open_flow> list;
    for (int n = 0; n < flows; ++n)
    {
        const auto& balancer = balancers[n % balancers.size()];
        open_flow it;
        it.port = client.next_port();
        auto opening = client.make(it.port, route_host, route_port);
        opening.flags = flag_syn;
        opening.sequence = 5000;
        client.send(balancer, opening);
        const auto got = client.wait(it.port, 1000, any);
        if (!got.has_value() || !got->has(flag_syn))
        {
            log.line("flow of port %d did not open", it.port);
            end(2);
        }
        it.sequence = 5001;
        it.acknowledged = got->sequence + 1;
        const auto answer = ask(client, balancer, it, "request-1", 2000);
        if (!answer.has_value() || answer->has(flag_rst))
        {
            log.line("flow of port %d got no first answer", it.port);
            end(2);
        }
        it.server = answer->data.substr(0, answer->data.find(' '));
        list.push_back(it);
    }
    log.line("%d flows are open and have had an answer", flows);
    // Half a second after the agents' messages that are sent every 10 s, so
    // that the next ones are 9.5 s away (review/1/claim.txt tells what other
    // moments give). The flows stay idle for less than idleTimeoutMs.
    sleep_ms(std::max<std::int64_t>(0, started_at + 10500 - now_ms()));
    const auto killed_server = servers.front()->id();
    if (trouble)
    {
        std::vector<std::string> victims = {"agent-1"};
        for (std::size_t n = 0; n < balancers.size(); ++n)
        {
            victims.push_back(name_of("balancer", n));
        }
        for (const auto& it : victims)
        {
            programs.signal(it, SIGKILL);
        }
        log.line("disruption: SIGKILL to all balancers and to agent-1");
        for (const auto& it : victims)
        {
            programs.wait_end(it);
        }
        sleep_ms(restart_delay_ms);
        for (const auto& it : victims)
        {
            programs.start(it, it[0] == 'a');
        }
        log.line("these processes are started again");
    }
    sleep_ms(stable_window_ms + margin_ms);
    log.line("all machines are in touch; every flow asks again");

    std::vector<std::thread> askers;
    std::atomic<int> resets = 0;
    std::atomic<int> elsewhere = 0;
    std::atomic<int> answered = 0;
    for (int n = 0; n < flows; ++n)
    {
        askers.emplace_back(
            [&, n]
            {
                auto& it = list[static_cast<std::size_t>(n)];
                const auto asked_at = now_ms();
                const auto got = ask(
                    client,
                    balancers[static_cast<std::size_t>(n) % balancers.size()],
                    it, "request-2", 4000);
                const auto spared = !trouble || it.server != killed_server;
                if (got.has_value() && !got->has(flag_rst))
                {
                    ++answered;
                    return;
                }
                if (got.has_value() && spared)
                {
                    ++resets;
                    log.line("BROKEN: the flow of port %d, open at server %s, "
                             "got a reset that its server did not send, %lld "
                             "ms after the request",
                             it.port, it.server.c_str(),
                             static_cast<long long>(now_ms() - asked_at));
                    return;
                }
                const std::lock_guard lock(mutex);
                const auto& at = foreign[it.port];
                const auto& served = own[it.port];
                const auto reached = std::any_of(served.begin(), served.end(),
                                                 [&](std::int64_t time)
                                                 {
                                                     return time >= asked_at;
                                                 });
                if (spared && !reached && at.size() >= 3 &&
                    at.back() - at.front() >= reorder_window_ms)
                {
                    ++elsewhere;
                    log.line("BROKEN: %zu packets of the flow of port %d, open "
                             "at server %s, reached other servers in %lld ms, "
                             "and none its own",
                             at.size(), it.port, it.server.c_str(),
                             static_cast<long long>(at.back() - at.front()));
                    return;
                }
                log.line("flow of port %d: no answer in 4 s", it.port);
            });
    }
    for (auto& it : askers)
    {
        it.join();
    }
    if (programs.any_ended())
    {
        log.line("a process ended by itself");
        end(2);
    }
    log.line("answered %d, reset %d, at other servers only %d, of %d flows",
             answered.load(), resets.load(), elsewhere.load(), flows);
    end(resets + elsewhere > 0 ? 1 : 0);
    return 2;
}
