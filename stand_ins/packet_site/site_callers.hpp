#ifndef BRIARDRUM_STAND_INS_PACKET_SITE_SITE_CALLERS_HPP
#define BRIARDRUM_STAND_INS_PACKET_SITE_SITE_CALLERS_HPP

#include "io/http/http_client.hpp"
#include "io/udp/udp_socket.hpp"
#include "stand_ins/packet_site/wire_packet.hpp"

#include <asio.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace briardrum::stand_in
{

struct site_balancer
{
    endpoint packets;
    endpoint readiness;
};

struct site_callers_settings
{
    // The callers' address, at the port where they take packets.
    endpoint local;
    std::vector<site_balancer> balancers;
    // Routes with the service that answers there.
    std::map<endpoint, std::string> routes;
    double per_second = 200;
};

// What callers saw; wrong, doubled and broken must be 0.
struct site_tally
{
    std::uint64_t asked = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t unanswered = 0;
    // Answers of another service, or to another request, or changed.
    std::uint64_t wrong = 0;
    // Flows that were reset when they were open.
    std::uint64_t broken = 0;
};

// Fabric and callers in one. Most callers open a flow for each request; some
// keep theirs open for several, with pauses. Asks the balancers whether they
// are ready, sends each flow's packets by its hash over those that are, and
// checks what comes back.
class site_callers
{
public:
    site_callers(asio::io_context& context, site_callers_settings settings);

    auto start() -> bool;

    // Begins and ends asking; open requests go on.
    auto begin() -> void;
    auto end() -> void;

    auto ready_balancers() const -> std::size_t;
    auto tally() const -> const site_tally&;

private:
    struct flow
    {
        endpoint route;
        std::string request;
        millis asked_at;
        millis sent_at;
        std::uint32_t copies = 0;
        bool open = false;
        // The server's position that the caller acknowledges, and the caller's
        // own.
        std::uint32_t acknowledged = 0;
        std::uint32_t sequence = 0;
        std::uint64_t number = 0;
        // Requests that follow this one on the same flow, after pauses.
        std::uint32_t requests_left = 0;
        // True between an answer and the next request.
        bool paused = false;
    };

    auto poll() -> void;
    auto ask() -> void;
    auto tick() -> void;
    auto ask_again(millis now, const endpoint& caller, flow& row) -> void;
    auto on_answer(const endpoint& caller, flow& row, const wire_packet& packet)
        -> bool;
    auto send(const endpoint& caller, const flow& it, std::uint8_t flags,
              const std::string& payload) -> void;
    auto on_packet(byte_view bytes) -> void;

    asio::io_context& context_;
    site_callers_settings settings_;
    udp_socket socket_;
    asio::steady_timer poll_timer_;
    asio::steady_timer ask_timer_;
    asio::steady_timer tick_timer_;
    std::vector<std::unique_ptr<http_client>> clients_;
    std::vector<int> misses_;
    std::map<endpoint, flow> flows_;
    site_tally tally_;
    std::uint64_t next_ = 0;
    bool asking_ = false;
};

} // namespace briardrum::stand_in

#endif
