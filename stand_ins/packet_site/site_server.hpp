#ifndef BRIARDRUM_STAND_INS_PACKET_SITE_SITE_SERVER_HPP
#define BRIARDRUM_STAND_INS_PACKET_SITE_SITE_SERVER_HPP

#include "io/http/http_client.hpp"
#include "io/http/http_server.hpp"
#include "io/udp/udp_socket.hpp"
#include "stand_ins/packet_site/wire_packet.hpp"

#include <asio.hpp>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace briardrum::stand_in
{

struct site_server_settings
{
    std::string service_name;
    // Where it takes packets, and where the agent beside it takes packets and
    // heartbeats.
    endpoint local;
    endpoint outbound;
    endpoint control;
    std::uint32_t slots = 5;
    millis work = milliseconds(5);
    millis heartbeat_interval = milliseconds(300);
};

// A backend server of packet flows: its answer to a request is its service's
// name and the request. A flow is kept after the answer to a request that ends
// in '+', unless the server drains.
class site_server
{
public:
    static constexpr const char* id = "i-1";

    site_server(asio::io_context& context, site_server_settings settings,
                std::function<void(const std::string& request)> on_run);

    // False when the address cannot be bound.
    auto start() -> bool;

    auto drain() -> void;
    auto is_draining() const -> bool;

    // Where the agent takes its heartbeats, and the body of the last one.
    auto control() const -> const endpoint&;
    auto heartbeat() const -> nlohmann::json;

    // Packets that were not as their sender wrote them.
    auto changed_packets() const -> std::uint64_t;
    auto is_leave_heard() const -> bool;
    // Flows accepted so far.
    auto accepted_flows() const -> std::uint64_t;

private:
    struct flow
    {
        // The server's own position at the start of the flow.
        std::uint32_t first_sequence = 0;
        bool asked = false;
        // The caller's position after the last request that arrived.
        std::uint32_t received = 0;
        // Bytes of the answers so far, and the last answer; no answer while its
        // request runs.
        std::uint32_t answered_bytes = 0;
        std::optional<wire_packet> answer;
    };

    using flow_id = std::pair<endpoint, endpoint>;

    auto accept(const wire_packet& opening) -> void;
    auto next_first_sequence() -> std::uint32_t;
    auto on_packet(byte_view bytes) -> void;
    auto send(const wire_packet& packet) -> void;
    auto return_to_sender(byte_view bytes) -> void;
    auto on_request(flow& row, const wire_packet& packet) -> void;
    auto run(const wire_packet& request) -> void;
    auto answer(const wire_packet& request) -> void;
    auto beat() -> void;

    asio::io_context& context_;
    site_server_settings settings_;
    std::function<void(const std::string&)> on_run_;
    udp_socket socket_;
    // Health checks over TCP at the address of the packets.
    http_server health_;
    http_client client_;
    asio::steady_timer timer_;
    std::map<flow_id, flow> flows_;
    std::uint64_t sequence_ = 0;
    std::uint32_t accepted_ = 0;
    std::uint64_t changed_ = 0;
    std::int64_t started_ms_;
    bool draining_ = false;
    bool drain_heard_ = false;
};

} // namespace briardrum::stand_in

#endif
