#include "io/server/server_sessions.hpp"
#include "io/udp/udp_socket.hpp"

#include <doctest/doctest.h>
#include <set>

using namespace briardrum;

namespace
{

constexpr std::uint32_t loopback = 0x7f000001;

// A free loopback address, as the kernel gives it out.
auto free_udp_address(asio::io_context& context) -> endpoint
{
    const asio::ip::udp::endpoint any(asio::ip::address_v4::loopback(), 0);
    asio::ip::udp::socket probe(context, any);
    return {loopback, probe.local_endpoint().port()};
}

// Runs the loop until the condition holds; gives up where nothing is left to
// wait for.
template <typename Condition>
auto run_until(asio::io_context& context, Condition condition) -> void
{
    while (!condition() && context.run_one() > 0)
    {
    }
}

} // namespace

TEST_CASE("a UDP socket sends and receives more than one batch")
{
    asio::io_context context;
    const auto address = free_udp_address(context);
    udp_socket receiver(context);
    udp_socket sender(context);
    REQUIRE(receiver.open(address).ok());
    REQUIRE(sender.open(free_udp_address(context)).ok());

    std::set<std::uint8_t> seen;
    std::size_t passes = 0;
    receiver.start({[&](const endpoint&, byte_view bytes)
                    {
                        REQUIRE(bytes.size() == 2);
                        seen.insert(bytes[0]);
                    },
                    [&]
                    {
                        ++passes;
                    }});
    constexpr std::uint8_t count = 150;
    for (std::uint8_t n = 0; n < count; ++n)
    {
        sender.queue(address) = {n, 7};
    }
    run_until(context,
              [&]
              {
                  return seen.size() == count;
              });
    CHECK(seen.size() == count);
    CHECK(passes > 0);
    CHECK(sender.counters().sent == count);
    CHECK(receiver.counters().received == count);
}

TEST_CASE("a datagram that is too long is counted and passed over")
{
    asio::io_context context;
    const auto address = free_udp_address(context);
    udp_socket receiver(context);
    udp_socket sender(context);
    REQUIRE(receiver.open(address).ok());
    REQUIRE(sender.open(free_udp_address(context)).ok());
    std::size_t seen = 0;
    receiver.start({[&](const endpoint&, byte_view)
                    {
                        ++seen;
                    },
                    {}});
    sender.queue(address).assign(datagram_bytes_max + 1, 1);
    sender.queue(address).assign(datagram_bytes_max, 1);
    run_until(context,
              [&]
              {
                  return seen == 1;
              });
    CHECK(seen == 1);
    CHECK(receiver.counters().oversize == 1);
}

TEST_CASE("an address that is taken is named")
{
    asio::io_context context;
    const auto address = free_udp_address(context);
    udp_socket first(context);
    udp_socket second(context);
    REQUIRE(first.open(address).ok());
    const auto status = second.open(address);
    CHECK(error_kind_of(status) == error_kind::unavailable);
    CHECK(std::string(status.message()).find(to_string(address)) !=
          std::string::npos);
}

TEST_CASE("each flow has its own socket towards the backend server")
{
    asio::io_context context;
    const auto address = free_udp_address(context);
    udp_socket server(context);
    REQUIRE(server.open(address).ok());
    std::set<endpoint> callers;
    server.start({[&](const endpoint& from, byte_view bytes)
                  {
                      callers.insert(from);
                      server.queue(from) = to_buffer(bytes);
                  },
                  {}});

    std::set<service_id> answered;
    server_sessions_hooks hooks;
    hooks.on_datagram = [&](const flow_key& flow, byte_view bytes)
    {
        CHECK(bytes[0] == flow.service);
        answered.insert(flow.service);
    };
    hooks.on_refused = [] {};
    server_sessions sessions(context, address, std::move(hooks));
    for (std::uint8_t n = 1; n <= 3; ++n)
    {
        const byte_buffer datagram = {n};
        sessions.send(seconds(1), {{loopback, 9}, n}, datagram);
    }
    run_until(context,
              [&]
              {
                  return answered.size() == 3;
              });
    CHECK(answered.size() == 3);
    CHECK(callers.size() == 3);

    sessions.close({{loopback, 9}, 2});
    CHECK(sessions.size() == 2);
    sessions.tick(clock::now() + server_sessions::idle_timeout);
    CHECK(sessions.size() == 0);
}

TEST_CASE("a closed port of the backend server is reported")
{
    asio::io_context context;
    const auto address = free_udp_address(context);
    auto refused = false;
    server_sessions_hooks hooks;
    hooks.on_datagram = [](const flow_key&, byte_view) {};
    hooks.on_refused = [&]
    {
        refused = true;
    };
    server_sessions sessions(context, address, std::move(hooks));
    const byte_buffer datagram = {1};
    sessions.send(seconds(1), {{loopback, 9}, 1}, datagram);
    run_until(context,
              [&]
              {
                  return refused;
              });
    CHECK(refused);
}
