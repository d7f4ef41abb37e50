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

// Times and sizes of the spread of configurations.
struct distributor_settings
{
    // Between two questions to a peer whether it holds more.
    millis poll_interval = seconds(1);
    // Between two questions while this process holds nothing.
    millis bootstrap_interval = milliseconds(250);
    // Between two pushes of the same version.
    millis push_interval = milliseconds(200);
    // Members pushed to at once, and in each later push.
    std::array<std::uint32_t, 2> push_fanout = {3, 2};
    // Pushes stop above this mean rate and go on below it, then with all
    // changes since.
    std::uint32_t push_bytes_per_second = 2'000;
    std::uint32_t push_burst_bytes = 32 * 1024;
    // Mean rate of snapshots given to newcomers and to members that were away
    // for long; one that is larger than the rest of it makes the next wait.
    std::uint32_t snapshot_bytes_per_second = 1'000'000;
    // Changes kept to bring others up to date without a snapshot.
    std::size_t delta_bytes_max = std::size_t{256} * 1024;
    // Between two looks at which members are the watchers.
    millis watcher_selection_interval = milliseconds(500);
};

// Holds the newest configuration of one process and spreads it to others.
//
// A watcher hands in what the store holds by on_stored_configuration(); every
// process hands in control messages by on_control() and calls tick() every 100
// ms or so. A version is adopted only when it is larger. It is pushed to a few
// members of the own data centre, and each second one member is asked whether
// it holds more, so that lost messages, newcomers and paused members are caught
// up with. A watcher compares with other data centres as well.
class configuration_distributor
{
public:
    configuration_distributor(distributor_settings settings,
                              distributor_hooks hooks, std::uint64_t seed);

    // What the store or a file holds; false when it is not larger than what
    // is held.
    auto on_stored_configuration(millis now,
                                 std::shared_ptr<const configuration> next)
        -> bool;

    // Handles configuration messages and requests; false for other kinds.
    auto on_control(millis now, const control_message& message) -> bool;

    auto tick(millis now) -> void;

    // The newest configuration, or nullptr while none is known.
    auto newest() const -> const std::shared_ptr<const configuration>&;
    auto version() const -> configuration_version;

    // True when this process is one of those that hold the watch.
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
    // What members said that they hold, newer than their records.
    std::unordered_map<member_id, configuration_version> reported_versions_;
    bool is_watcher_ = false;
    bool poll_other_data_centre_ = false;
    // Where pushes start: the version before the first not pushed yet.
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
