#ifndef BRIARDRUM_BENCH_RIG_PACKETS_PACKET_SERVER_HPP
#define BRIARDRUM_BENCH_RIG_PACKETS_PACKET_SERVER_HPP

#include "bench/rig/event_queue.hpp"
#include "packets/packets.hpp"

#include <deque>
#include <functional>
#include <vector>

namespace briardrum::rig
{

// How fake backend servers behave.
struct server_model
{
    // Requests that wait inside the server; more are refused at once.
    std::size_t queue_max = 20;
    // A started server works slower by this factor for so long.
    double cold_factor = 1.6;
    millis cold_time = seconds(2);
};

struct packet_server_hooks
{
    // Hands a packet to the agent beside the server.
    std::function<void(const flow_packet&)> send;
    // How long the flow's request takes on a warm server.
    std::function<millis(const flow_key&)> work_of;
    // A request began to run, ended, or was refused unrun.
    std::function<void(const flow_key&)> started;
    std::function<void(const flow_key&)> refused;
};

// A backend server of packet flows: slots, a queue in front of them, a cold
// start. A packet with a payload is a whole request; its flow closes with the
// answer.
class packet_server
{
public:
    // number tells servers apart: their positions in handshakes differ.
    packet_server(event_queue& events, server_model model, std::uint32_t slots,
                  std::uint32_t number, packet_server_hooks hooks);

    auto on_packet(const flow_packet& packet) -> void;

    // Starts anew, or is gone without a word.
    auto start() -> void;
    auto lose() -> void;
    auto set_slowness(double factor) -> void;

    // A frozen server neither answers nor works; packets wait for it.
    auto set_frozen(bool frozen) -> void;

    auto is_up() const -> bool;
    auto is_frozen() const -> bool;
    auto holds(const flow_key& flow) const -> bool;
    auto runs() const -> std::uint64_t;
    auto slots() const -> std::uint32_t;

    // When the opening packets of the present incarnation arrived, copies
    // included.
    auto openings() const -> const std::vector<millis>&;
    auto is_cold() const -> bool;

    // Heartbeats: the incarnation, its next sequence, and whether it leaves.
    auto next_heartbeat() -> server_heartbeat;
    auto drain() -> void;

private:
    // A flow opens here when its caller acknowledges this server's position; a
    // caller whose opening packet reached two servers acknowledges one of them.
    struct held_flow
    {
        std::uint32_t sequence = 0;
        bool asked = false;
    };

    auto answer(const flow_packet& packet, bool opens, std::uint16_t payload)
        -> void;
    auto run(const flow_packet& request) -> void;
    auto finish(const flow_packet& request, std::uint64_t life) -> void;

    event_queue& events_;
    server_model model_;
    std::uint32_t slots_;
    std::uint32_t number_;
    packet_server_hooks hooks_;
    table<flow_key, held_flow> flows_;
    std::deque<flow_packet> queue_;
    std::uint32_t running_ = 0;
    std::uint64_t life_ = 0;
    std::uint64_t sequence_ = 0;
    std::uint64_t runs_ = 0;
    std::vector<millis> openings_;
    millis started_at_;
    double slowness_ = 1;
    bool frozen_ = false;
    // Received, and completed, while the server was frozen.
    std::vector<flow_packet> received_;
    std::vector<flow_packet> completed_;
    bool up_ = false;
    bool draining_ = false;
};

} // namespace briardrum::rig

#endif
