#ifndef BRIARDRUM_NODE_DISTRIBUTION_CONFIGURATION_DISTRIBUTOR_HPP
#define BRIARDRUM_NODE_DISTRIBUTION_CONFIGURATION_DISTRIBUTOR_HPP

#include "config/config.hpp"
#include "core/core.hpp"
#include "node/distribution/delta_log.hpp"
#include "node/distribution/distributor_hooks.hpp"
#include "wire/wire.hpp"

#include <array>
#include <memory>
#include <unordered_map>
#include <vector>

namespace briardrum
{

// Intervals, rates and size limits of the configuration distribution.
struct distributor_settings
{
    // Between two requests to a peer for a newer version.
    millis poll_interval = seconds(1);
    // Between two such requests while this process has no configuration.
    millis bootstrap_interval = milliseconds(250);
    // Between two pushes of the same version.
    millis push_interval = milliseconds(200);
    // Number of members in the first push of a version, and in the second.
    std::array<std::uint32_t, 2> push_fanout = {3, 2};
    // Token bucket of the pushes. Pushes pause while it is empty; the next one
    // carries all changes since.
    std::uint32_t push_bytes_per_second = 2'000;
    std::uint32_t push_burst_bytes = 32 * 1024;
    // Mean rate of the snapshots sent to members without a configuration or
    // too far behind the log. A snapshot may overdraw the token bucket, which
    // delays the next one.
    std::uint32_t snapshot_bytes_per_second = 1'000'000;
    // Size of the log of changes that are sent instead of a snapshot.
    std::size_t delta_bytes_max = std::size_t{256} * 1024;
    // Between two selections of the watchers.
    millis watcher_selection_interval = milliseconds(500);
};

// Holds the newest configuration of one process and distributes it to other
// members by push and by periodic polling.
//
// Pass the store's configuration to on_stored_configuration() in a watcher and
// control messages to on_control() in every process, and call tick() about
// every 100 ms. Only a larger version is adopted. It is pushed to a few members
// of the own data centre. Each second one member is also asked for a newer
// version, which makes up for lost messages and brings new and formerly paused
// members up to date. A watcher alternates between its own and other data
// centres.
class configuration_distributor
{
public:
    configuration_distributor(distributor_settings settings,
                              distributor_hooks hooks, std::uint64_t seed);

    // Adopts a configuration read from the store or a file. Returns false when
    // its version is not larger than the current one.
    auto on_stored_configuration(millis now,
                                 std::shared_ptr<const configuration> next)
        -> bool;

    // Handles configuration messages and requests; returns false for other
    // kinds.
    auto on_control(millis now, const control_message& message) -> bool;

    auto tick(millis now) -> void;

    // The newest known configuration, or nullptr.
    auto newest() const -> const std::shared_ptr<const configuration>&;
    auto version() const -> configuration_version;

    // True when this process is one that watches the store.
    auto is_watcher() const -> bool;

private:
    struct target_filter
    {
        bool same_data_centre = true;
        bool only_behind = false;
    };

    auto on_message(millis now, member_id from,
                    const configuration_message& message) -> void;
    auto on_request(millis now, member_id from,
                    const configuration_request& request) -> void;
    auto adopt(millis now, std::shared_ptr<const configuration> next,
               std::vector<configuration_change> changes) -> void;
    auto refill_tokens(millis now) -> void;
    auto push(millis now) -> void;
    auto push_to(const member_record& target) -> void;
    auto poll_peer(millis now) -> void;
    auto request_update(const member_record& target) -> void;
    auto send(const member_record& target, control_body body) -> void;
    auto record_reported_version(member_id id, configuration_version version)
        -> void;
    auto known_version_of(const member_record& record) const
        -> configuration_version;
    auto pick_targets(std::size_t count, target_filter filter)
        -> std::vector<const member_record*>;
    auto is_behind(const member_record& record) const -> bool;
    auto update_watcher_role(millis now) -> void;

    distributor_settings settings_;
    distributor_hooks hooks_;
    random_source random_;
    std::shared_ptr<const configuration> newest_;
    delta_log log_;
    // Versions that members reported in messages, which may be newer than
    // their member records.
    std::unordered_map<member_id, configuration_version> reported_versions_;
    bool is_watcher_ = false;
    bool poll_other_data_centre_ = false;
    // The version that precedes the first change still to be pushed.
    configuration_version push_base_version_ = 0;
    std::size_t pushes_done_ = 0;
    millis next_push_;
    millis next_poll_;
    millis next_watcher_selection_;
    millis tokens_refilled_at_;
    double push_tokens_ = 0;
    double snapshot_tokens_ = 0;
};

} // namespace briardrum

#endif
