#include "io/control/control_pool.hpp"
#include "io/control/control_server.hpp"

#include <doctest/doctest.h>

using namespace briardrum;

namespace
{

using asio::ip::tcp;

constexpr std::uint32_t loopback = 0x7f000001;

auto free_tcp_address(asio::io_context& context) -> endpoint
{
    const tcp::endpoint any(asio::ip::address_v4::loopback(), 0);
    tcp::acceptor probe(context, any);
    return {loopback, probe.local_endpoint().port()};
}

auto to_asio(const endpoint& value) -> tcp::endpoint
{
    return {asio::ip::address_v4(value.address), value.port};
}

auto probe_with(std::uint64_t sequence) -> control_message
{
    control_message out;
    out.from = 7;
    out.body = probe_message{sequence, 0};
    return out;
}

auto sequence_of(const control_message& message) -> std::uint64_t
{
    const auto* body = std::get_if<probe_message>(&message.body);
    return body == nullptr ? 0 : body->sequence;
}

// A control server and a pool that talks to it, on one loop.
struct two_ends
{
    two_ends()
        : address(free_tcp_address(context)),
          server(
              context,
              [this](const control_message& message)
              {
                  if (sequence_of(message) != 0)
                  {
                      received.push_back(sequence_of(message));
                  }
                  else
                  {
                      ++heartbeats;
                  }
              },
              server_counters,
              [this](const event& value)
              {
                  lines.push_back(value.line());
              }),
          pool(context,
               [this](const control_message&)
               {
                   ++heartbeats_back;
               },
               pool_counters, {})
    {
        control_message message;
        message.body = heartbeat_message{};
        heartbeat = encode_control(message);
    }

    template <typename Condition>
    auto run_until(Condition condition) -> void
    {
        while (!condition() && context.run_one() > 0)
        {
        }
    }

    asio::io_context context;
    endpoint address;
    control_counters server_counters;
    control_counters pool_counters;
    std::vector<std::uint64_t> received;
    std::vector<std::string> lines;
    std::size_t heartbeats = 0;
    std::size_t heartbeats_back = 0;
    byte_buffer heartbeat;
    control_server server;
    control_pool pool;
};

} // namespace

TEST_CASE("control messages arrive in order on one connection")
{
    two_ends both;
    REQUIRE(both.server.start(both.address).ok());
    const auto now = clock::now();
    for (std::uint64_t n = 1; n <= 100; ++n)
    {
        both.pool.send(now, both.address, probe_with(n));
    }
    both.run_until(
        [&]
        {
            return both.received.size() == 100;
        });
    CHECK(both.received.front() == 1);
    CHECK(both.received.back() == 100);
    CHECK(both.pool_counters.opened == 1);
    CHECK(both.server_counters.accepted == 1);
}

TEST_CASE("heartbeats go both ways, and a silent end is closed")
{
    two_ends both;
    REQUIRE(both.server.start(both.address).ok());
    const auto now = clock::now();
    both.pool.send(now, both.address, probe_with(1));
    both.run_until(
        [&]
        {
            return both.received.size() == 1;
        });
    const auto later = now + seconds(1) + heartbeat_interval;
    both.pool.tick(later, both.heartbeat);
    both.server.tick(later, both.heartbeat);
    both.run_until(
        [&]
        {
            return both.heartbeats == 1 && both.heartbeats_back == 1;
        });
    both.server.tick(later, both.heartbeat);
    CHECK(both.server.size() == 1);
    // The other end is never ticked again: it stands for a stopped process.
    both.server.tick(later + silence_max, both.heartbeat);
    CHECK(both.server.size() == 0);
    CHECK(both.server_counters.silent == 1);
    REQUIRE(both.lines.size() == 1);
    CHECK(both.lines.front().find("reason=silent") != std::string::npos);
}

TEST_CASE("a silent connection is replaced and its messages are sent again")
{
    two_ends both;
    // Stands for an end that lost track of the connection: the kernel opens
    // it, nobody answers.
    tcp::acceptor deaf(both.context, to_asio(both.address));
    const auto now = clock::now();
    both.pool.send(now, both.address, probe_with(1));
    CHECK(both.pool_counters.opened == 1);
    deaf.close();
    REQUIRE(both.server.start(both.address).ok());
    both.pool.tick(now + silence_max, both.heartbeat);
    CHECK(both.pool_counters.silent == 1);
    CHECK(both.pool_counters.opened == 2);
    both.run_until(
        [&]
        {
            return both.received.size() == 1;
        });
    CHECK(both.received == std::vector<std::uint64_t>{1});
}

TEST_CASE("an address that refuses is left alone for a while")
{
    two_ends both;
    const auto now = clock::now();
    both.pool.send(now, both.address, probe_with(1));
    both.run_until(
        [&]
        {
            return false;
        });
    CHECK(both.pool_counters.opened == 1);
    both.pool.send(now, both.address, probe_with(2));
    CHECK(both.pool_counters.opened == 1);
    CHECK(both.pool_counters.dropped == 1);
    const auto later = clock::now() + control_pool::retry_interval;
    both.pool.send(later, both.address, probe_with(3));
    CHECK(both.pool_counters.opened == 2);
}

TEST_CASE("a bad frame closes its connection with one line, no other")
{
    two_ends both;
    REQUIRE(both.server.start(both.address).ok());
    both.pool.send(clock::now(), both.address, probe_with(1));
    tcp::socket rogue(both.context);
    rogue.connect(to_asio(both.address));
    const std::string frame("\x00\x00\x00\x05hello", 9);
    asio::write(rogue, asio::buffer(frame));
    both.run_until(
        [&]
        {
            return !both.lines.empty() && both.received.size() == 1;
        });
    CHECK(both.server_counters.bad_frames == 1);
    REQUIRE(both.lines.size() == 1);
    CHECK(both.lines.front().find("event=control_closed") == 0);
    CHECK(both.lines.front().find("kind=") != std::string::npos);
    CHECK(both.server.size() == 1);
}

TEST_CASE("a frame over the limit closes its connection before it is read")
{
    two_ends both;
    REQUIRE(both.server.start(both.address).ok());
    tcp::socket rogue(both.context);
    rogue.connect(to_asio(both.address));
    const std::string head("\xff\xff\xff\xff", 4);
    asio::write(rogue, asio::buffer(head));
    both.run_until(
        [&]
        {
            return !both.lines.empty();
        });
    CHECK(both.lines.front().find("kind=oversize") != std::string::npos);
    CHECK(both.server.size() == 0);
}

TEST_CASE("a connection that carries nothing of ours is closed")
{
    two_ends both;
    REQUIRE(both.server.start(both.address).ok());
    const auto now = clock::now();
    both.pool.send(now, both.address, probe_with(1));
    both.run_until(
        [&]
        {
            return both.received.size() == 1;
        });
    both.pool.tick(now + control_pool::idle_timeout, both.heartbeat);
    both.run_until(
        [&]
        {
            return both.server.size() == 0;
        });
    CHECK(both.pool.size() == 0);
    CHECK(both.lines.empty());
}

TEST_CASE("a full queue drops its oldest messages")
{
    two_ends both;
    tcp::acceptor deaf(both.context, to_asio(both.address));
    configuration_change change;
    change.key = "k";
    change.value.assign(configuration_value_bytes_max, 'x');
    control_message large;
    large.body = configuration_message{0, 1, {change}};
    const auto now = clock::now();
    for (int n = 0; n < 10; ++n)
    {
        both.pool.send(now, both.address, large);
    }
    CHECK(both.pool_counters.dropped >= 6);
    CHECK(both.pool_counters.dropped < 10);
}
