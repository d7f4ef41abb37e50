#include "bench/allocation_counter.hpp"
#include "bench/measures.hpp"
#include "io/udp/receive_batch.hpp"
#include "io/udp/send_batch.hpp"
#include "io/udp/socket_address.hpp"
#include "node/balancer_core.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <memory>
#include <string>
#include <unistd.h>
#include <vector>

namespace briardrum::bench
{

namespace
{

constexpr std::uint32_t service_count = 100;
constexpr std::uint32_t servers_per_service = 50;
constexpr std::uint32_t flow_count = 40000;
constexpr std::size_t datagram_bytes = 64;
// Datagrams put into a socket before the timed part reads them.
constexpr std::size_t burst = 256;
constexpr double ratio_target = 0.8;

constexpr std::uint32_t loopback = 0x7f000001;
constexpr std::uint32_t agent_network = 0x7f010000;
constexpr std::uint32_t service_network = 0xcb007100;
constexpr std::uint32_t caller_network = 0xac100000;
constexpr std::uint16_t coap_port = 5683;
constexpr std::uint16_t first_port = 1024;
constexpr std::uint32_t ports_per_caller = 60000;

// Time of the processor that this thread used, so that other work on the
// machine does not count.
auto processor_seconds() -> double
{
    timespec now{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    constexpr double nanoseconds = 1e9;
    return static_cast<double>(now.tv_sec) +
           static_cast<double>(now.tv_nsec) / nanoseconds;
}

// A bound UDP socket; port 0 takes any.
class plain_socket
{
public:
    explicit plain_socket(std::uint32_t address)
        : descriptor_(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0))
    {
        constexpr int room = 4 << 20;
        ::setsockopt(descriptor_, SOL_SOCKET, SO_RCVBUF, &room, sizeof(room));
        ::setsockopt(descriptor_, SOL_SOCKET, SO_SNDBUF, &room, sizeof(room));
        auto place = to_sockaddr({address, 0});
        // The machine has no loopback address to bind.
        BRIARDRUM_INVARIANT(::bind(descriptor_,
                                   reinterpret_cast<sockaddr*>(&place),
                                   sizeof(place)) == 0);
        socklen_t length = sizeof(place);
        ::getsockname(descriptor_, reinterpret_cast<sockaddr*>(&place),
                      &length);
        port_ = from_sockaddr(place).port;
    }

    ~plain_socket()
    {
        ::close(descriptor_);
    }

    plain_socket(const plain_socket&) = delete;
    auto operator=(const plain_socket&) -> plain_socket& = delete;

    auto descriptor() const -> int
    {
        return descriptor_;
    }

    auto port() const -> std::uint16_t
    {
        return port_;
    }

private:
    int descriptor_;
    std::uint16_t port_ = 0;
};

// What both ways of forwarding share: a socket that bursts come in on, one
// that they go out on and one that takes them all.
struct path
{
    plain_socket in{loopback};
    plain_socket out{loopback};
    // Bound to any address, so that it stands for every server.
    plain_socket sink{0};
    receive_batch received;
    send_batch queued;
    receive_batch drained;

    auto flush() -> void
    {
        queued.send(out.descriptor());
    }

    auto drain() -> std::size_t
    {
        std::size_t total = 0;
        std::size_t n = 0;
        do
        {
            n = drained.receive(sink.descriptor());
            total += n;
        } while (n != 0);
        return total;
    }
};

auto flow_caller(std::uint32_t n) -> endpoint
{
    return {caller_network + n / ports_per_caller,
            static_cast<std::uint16_t>(first_port + n % ports_per_caller)};
}

auto flow_service(std::uint32_t n) -> service_id
{
    return 1 + n % service_count;
}

auto make_configuration() -> std::shared_ptr<const configuration>
{
    auto config = std::make_shared<configuration>();
    config->version = 1;
    for (service_id id = 1; id <= service_count; ++id)
    {
        service item;
        item.id = id;
        item.name = "service-" + std::to_string(id);
        item.address = {service_network + id, coap_port};
        config->services[item.name] = item;
    }
    return config;
}

auto make_server(std::uint32_t n, std::uint16_t port) -> member_record
{
    member_record record;
    record.name = "agent-" + std::to_string(n);
    record.id = member_id_of(record.name);
    record.incarnation = 1;
    record.version = 1;
    record.state = member_state::ready;
    record.data_centre = "marsala";
    record.data_address = {agent_network + n, port};
    record.control_address = {agent_network + n, 1};
    record.service_name = "service-" + std::to_string(1 + n % service_count);
    record.slots = 5;
    return record;
}

// One way to forward what a burst brings.
class forwarder
{
public:
    virtual ~forwarder() = default;
    virtual auto forward(path& way) -> void = 0;
};

// Copies each datagram from one socket to another: what any relay must do.
// Sends to so many addresses in turn; the kernel looks a route up for each.
class bare_relay : public forwarder
{
public:
    explicit bare_relay(std::uint32_t addresses) : addresses_(addresses) {}

    auto forward(path& way) -> void override
    {
        std::size_t n = 0;
        do
        {
            n = way.received.receive(way.in.descriptor());
            for (std::size_t i = 0; i < n; ++i)
            {
                const auto bytes = way.received.datagram(i);
                const auto address = agent_network + next_++ % addresses_;
                way.queued.add({address, way.sink.port()})
                    .assign(bytes.begin(), bytes.end());
            }
            way.flush();
        } while (n != 0);
    }

private:
    std::uint32_t addresses_;
    std::uint32_t next_ = 0;
};

// The balancer's whole way of a datagram.
class balancer_relay : public forwarder
{
public:
    explicit balancer_relay(path& way) : way_(way)
    {
        member_record self;
        self.name = "balancer";
        self.id = member_id_of(self.name);
        self.incarnation = 1;
        self.kind = member_kind::balancer;
        self.state = member_state::ready;
        balancer_hooks hooks;
        hooks.send_envelope = [this](const endpoint& to, const envelope& it)
        {
            send(to, it);
        };
        hooks.send_to_caller = [](const caller_packet&) {};
        core_ = std::make_unique<balancer_core>(self, std::vector<endpoint>{},
                                                membership_settings{},
                                                std::move(hooks), 1);
        core_->adopt(now, make_configuration());
        add_servers();
    }

    // Every flow gets an answer, as in a fleet that runs for a while.
    auto answer_all_flows() -> void
    {
        for (std::uint32_t n = 0; n < flow_count; ++n)
        {
            const auto service = flow_service(n);
            const auto server =
                service - 1 + service_count * (n % servers_per_service);
            envelope answer;
            answer.kind = envelope_kind::answer;
            answer.service = service;
            answer.caller = flow_caller(n);
            answer.service_address = {service_network + service, coap_port};
            answer.from_agent = make_server(server, 0).id;
            core_->on_envelope(now, answer);
        }
    }

    auto forward(path& way) -> void override
    {
        std::size_t n = 0;
        do
        {
            n = way.received.receive(way.in.descriptor());
            for (std::size_t i = 0; i < n; ++i)
            {
                const auto packet = read_proxy_header(way.received.datagram(i));
                core_->on_packet(now, {packet->caller, packet->service_address,
                                       packet->datagram});
            }
        } while (n != 0);
        core_->serve(now, burst);
        way.flush();
    }

private:
    static constexpr millis now = seconds(1);

    auto add_servers() -> void
    {
        gossip_message gossip;
        for (std::uint32_t n = 0; n < service_count * servers_per_service; ++n)
        {
            gossip.records.push_back(make_server(n, way_.sink.port()));
        }
        core_->on_control(now, {1, 1, std::move(gossip)});
    }

    auto send(const endpoint& to, const envelope& message) -> void
    {
        if (way_.queued.is_full())
        {
            way_.flush();
        }
        encode_envelope(message, way_.queued.add(to));
    }

    path& way_;
    std::unique_ptr<balancer_core> core_;
};

// Puts bursts of flows' datagrams into the socket that a forwarder reads.
class load
{
public:
    load()
    {
        const std::vector<std::uint8_t> datagram(datagram_bytes, 0x40);
        packets_.resize(flow_count);
        for (std::uint32_t n = 0; n < flow_count; ++n)
        {
            write_proxy_header({flow_caller(n),
                                {service_network + flow_service(n), coap_port},
                                datagram},
                               packets_[n]);
        }
    }

    auto send_burst(path& way) -> void
    {
        for (std::size_t n = 0; n < burst; ++n)
        {
            if (queued_.is_full())
            {
                queued_.send(socket_.descriptor());
            }
            queued_.add({loopback, way.in.port()}) = packets_[next_];
            next_ = (next_ + 1) % flow_count;
        }
        queued_.send(socket_.descriptor());
    }

private:
    plain_socket socket_{loopback};
    send_batch queued_;
    std::vector<byte_buffer> packets_;
    std::size_t next_ = 0;
};

struct forward_result
{
    double per_second = 0;
    double allocations = 0;
    double lost_share = 0;
};

auto measure_once(load& source, path& way, forwarder& by, std::size_t bursts)
    -> forward_result
{
    double used = 0;
    std::uint64_t allocations = 0;
    std::size_t arrived = 0;
    for (std::size_t n = 0; n < bursts; ++n)
    {
        source.send_burst(way);
        const auto allocated = allocation_count();
        const auto begin = processor_seconds();
        by.forward(way);
        used += processor_seconds() - begin;
        allocations += allocation_count() - allocated;
        arrived += way.drain();
    }
    const auto sent = static_cast<double>(bursts * burst);
    return {static_cast<double>(arrived) / used,
            static_cast<double>(allocations) / sent,
            1 - static_cast<double>(arrived) / sent};
}

auto median(std::vector<double> values) -> double
{
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

struct forward_options
{
    std::size_t repeats = 9;
    std::size_t bursts = 400;
    bool new_flows = false;
    std::uint32_t relay_addresses = 1;
};

auto run_forward(const forward_options& options) -> int
{
    load source;
    path relay_way;
    path balancer_way;
    bare_relay relay(options.relay_addresses);
    balancer_relay balancer(balancer_way);
    if (!options.new_flows)
    {
        balancer.answer_all_flows();
    }
    measure_once(source, relay_way, relay, options.bursts);
    measure_once(source, balancer_way, balancer, options.bursts);
    std::vector<double> ratios;
    std::vector<double> bare;
    std::vector<double> balanced;
    forward_result last;
    for (std::size_t n = 0; n < options.repeats; ++n)
    {
        const auto base =
            measure_once(source, relay_way, relay, options.bursts);
        last = measure_once(source, balancer_way, balancer, options.bursts);
        bare.push_back(base.per_second);
        balanced.push_back(last.per_second);
        ratios.push_back(last.per_second / base.per_second);
    }
    std::printf("services=%u servers=%u flows=%u hinted=%d relay_addresses=%u "
                "repeats=%zu\n",
                service_count, service_count * servers_per_service, flow_count,
                options.new_flows ? 0 : 1, options.relay_addresses,
                options.repeats);
    std::printf("relay=%.0f/s balancer=%.0f/s per core (median)\n",
                median(bare), median(balanced));
    std::printf("ratio lowest=%.3f highest=%.3f\n",
                *std::min_element(ratios.begin(), ratios.end()),
                *std::max_element(ratios.begin(), ratios.end()));
    std::printf("allocations per datagram=%.4f lost=%.4f\n", last.allocations,
                last.lost_share);
    const auto ratio = median(ratios);
    const auto pass = ratio >= ratio_target && last.allocations == 0;
    std::printf("measure=forward ratio=%.3f target=%.2f verdict=%s\n", ratio,
                ratio_target, pass ? "pass" : "fail");
    return pass ? 0 : 1;
}

} // namespace

auto add_forward(CLI::App& app) -> measure
{
    auto options = std::make_shared<forward_options>();
    auto* command = app.add_subcommand(
        "forward", "Datagrams per second and core, against a bare relay");
    command->add_option("--repeats", options->repeats);
    command->add_option("--bursts", options->bursts);
    command
        ->add_option("--relay-addresses", options->relay_addresses,
                     "Addresses that the bare relay sends to in turn")
        ->check(CLI::PositiveNumber);
    command->add_flag("--new-flows", options->new_flows,
                      "No flow was answered before: every choice is hashed");
    return {command, [options]
            {
                return run_forward(*options);
            }};
}

} // namespace briardrum::bench
