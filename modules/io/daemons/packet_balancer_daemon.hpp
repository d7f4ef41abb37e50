#ifndef BRIARDRUM_IO_DAEMONS_PACKET_BALANCER_DAEMON_HPP
#define BRIARDRUM_IO_DAEMONS_PACKET_BALANCER_DAEMON_HPP

#include "io/daemons/packet_process.hpp"
#include "node/store/document_watch.hpp"
#include "node/store/policy_source.hpp"

#include <memory>

namespace briardrum
{

// What the balancer for packet flows reads from the store, and how.
struct packet_balancer_store
{
    open_store open;
    // The key of the operators' newest configuration.
    std::string configuration_key;
    // The prefix of all keys that operators write, and of those that name an
    // evacuated data centre each. Used if the settings call for a placement
    // policy.
    std::string operators_prefix;
    std::string evacuation_prefix;
    std::function<absl::StatusOr<route_table>(const std::string&)>
        read_configuration;
};

// Reads the settings for extra opening packets; empty if there are none.
using load_hedging = std::function<absl::StatusOr<hedging_settings>()>;

// The process that takes callers' packets from the fabric and forwards them
// to agents: packet_balancer with sockets, the store and membership.
class packet_balancer_daemon
{
public:
    packet_balancer_daemon(const packet_process_settings& settings,
                           packet_format format, load_packet_settings load,
                           packet_balancer_store from);

    // Call before start(): the settings for extra opening packets are read at
    // start and on SIGHUP.
    auto use_hedging(load_hedging load) -> void;

    auto start() -> absl::Status;
    auto run() -> int;

private:
    auto make_hooks() -> packet_process_hooks;
    auto make_watch_settings() -> document_watch_settings;
    auto make_watch_hooks() -> document_watch_hooks;
    auto on_stored_policy(const stored_policy& stored) -> void;
    auto on_packet(const flow_packet& packet) -> void;
    auto on_configuration(const std::string& text, store_revision at) -> void;
    auto reload_hedging(millis now) -> absl::Status;
    auto write_metrics(metrics_text& out) const -> void;

    packet_process process_;
    bool limits_cold_servers_;
    packet_balancer_store from_;
    std::unique_ptr<store> store_;
    packet_balancer core_;
    policy_source policy_source_;
    document_watch configuration_;
    std::uint64_t bad_configurations_ = 0;
    load_hedging load_hedging_;
};

} // namespace briardrum

#endif
