#ifndef BRIARDRUM_IO_DAEMONS_PACKET_PROCESS_HPP
#define BRIARDRUM_IO_DAEMONS_PACKET_PROCESS_HPP

#include "io/daemons/packet_format.hpp"
#include "io/daemons/packet_process_settings.hpp"
#include "io/daemons/process_loop.hpp"
#include "io/http/http_server.hpp"
#include "io/http/metrics_text.hpp"
#include "io/udp/udp_socket.hpp"
#include "membership/membership.hpp"
#include "node/store/agent_registrar.hpp"
#include "node/store/member_directory.hpp"
#include "packets/packets.hpp"

#include <memory>

namespace briardrum
{

// Makes the store's client on a process's event loop.
using open_store =
    std::function<std::unique_ptr<store>(asio::io_context&, event_sink)>;

// What a daemon adds to its packet_process.
struct packet_process_hooks
{
    process_loop_hooks loop;
    // A packet at the process's packet address.
    std::function<void(const endpoint& from, const flow_packet&)> on_packet;
    // A control message that is not about membership; may be empty.
    std::function<void(const control_message&)> on_control;
    // An agent that departed before this process knew it; may be empty.
    std::function<void(millis now, const member_record&)> on_member_departed;
    // All agents that are registered in the store; may be empty.
    std::function<void(millis now, std::span<const listed_agent>)>
        on_registered_agents;
    // A placement policy that differs from the one before; may be empty.
    std::function<void(millis now, const placement_policy&)> on_policy;
    std::function<bool()> is_ready;
    std::function<void(metrics_text&)> metrics;
};

// What the balancer and the agent for packet flows share: the loop, the packet
// socket, membership over UDP, and the readiness and metrics addresses.
//
// Create it, then the daemon's core over members(), then start() and run().
class packet_process
{
public:
    // load reads the settings anew after SIGHUP, and now and then besides: the
    // file may change without a signal.
    packet_process(packet_process_settings settings, packet_format format,
                   load_packet_settings load);
    packet_process(const packet_process&) = delete;
    auto operator=(const packet_process&) -> packet_process& = delete;

    // Binds every address.
    auto start(packet_process_hooks hooks) -> absl::Status;
    auto run() -> int;

    auto context() -> asio::io_context&;
    auto events() -> event_sink;
    auto members() -> member_view&;
    auto is_stopping() const -> bool;
    auto format() const -> const packet_format&;

    // Packet hooks that send from the packet socket; the daemon adds what it
    // needs besides.
    auto make_packet_hooks() -> packet_hooks;

    // Looks for members in the store, too; a balancer publishes its own address
    // there and registers the agents.
    auto use_directory(store& in) -> void;

    // The store has come back from an older copy of its data.
    auto on_store_restored() -> void;

    // Exchanges the placement policy with other members; nullptr if the
    // settings do not call for one.
    auto policy() const -> policy_spreader*;

    // Reads one datagram and hands it on; a malformed one is counted and
    // logged.
    auto read_packets(
        byte_view bytes, const endpoint& from,
        const std::function<void(const endpoint&, const flow_packet&)>& take)
        -> void;

private:
    auto send_control(const endpoint& to, const control_message& message)
        -> void;
    auto send_control_part(const endpoint& to, const control_message& message)
        -> void;
    auto on_control(const endpoint& from, byte_view bytes) -> void;
    auto make_policy_spreader() -> std::unique_ptr<policy_spreader>;
    auto answer(const http_request& request) -> http_response;
    auto write_metrics() -> std::string;
    auto tick(millis now) -> void;
    auto reload(millis now) -> void;
    auto take_settings(const packet_process_settings& next) -> void;
    auto own_record() const -> member_record;

    packet_process_settings settings_;
    packet_format format_;
    load_packet_settings load_;
    process_loop loop_;
    udp_socket packets_;
    udp_socket control_;
    http_server http_;
    member_view members_;
    std::unique_ptr<policy_spreader> policy_;
    std::unique_ptr<member_directory> directory_;
    // Balancers only.
    std::unique_ptr<agent_registrar> registrar_;
    packet_process_hooks hooks_;
    std::uint64_t bad_packets_ = 0;
    std::uint64_t bad_control_ = 0;
    millis next_member_tick_;
    millis next_reload_;
    // Why the settings could last not be read, told once.
    std::string reload_failure_;
    bool was_ready_ = false;
};

} // namespace briardrum

#endif
