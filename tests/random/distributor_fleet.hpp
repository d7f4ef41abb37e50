#ifndef BRIARDRUM_TESTS_RANDOM_DISTRIBUTOR_FLEET_HPP
#define BRIARDRUM_TESTS_RANDOM_DISTRIBUTOR_FLEET_HPP

#include "config/config.hpp"
#include "node/distribution/configuration_distributor.hpp"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace briardrum::tests
{

// Faults of the simulated network of a distributor_fleet: the probabilities of
// a dropped and a duplicated message, and the upper bound of the delay.
struct delivery_faults
{
    double drop = 0;
    double duplicate = 0;
    millis delay_max = milliseconds(5);
};

// Simulates many configuration distributors on virtual time, with a store that
// notifies its watchers and a network that drops, duplicates and reorders
// messages. Every daemon sees the same member records; paused daemons are not
// marked in them.
class distributor_fleet
{
public:
    struct daemon
    {
        member_record record;
        std::unique_ptr<configuration_distributor> distributor;
        millis joined;
        bool paused = false;
        bool store_reachable = true;
        configuration_version adopted = 0;
    };

    distributor_fleet(std::uint64_t seed, delivery_faults faults);

    auto join(const std::string& data_centre) -> daemon&;

    // Stores the next version of the configuration.
    auto change() -> void;

    // Advances virtual time by span, in ticks of 50 ms.
    auto run(millis span) -> void;

    auto daemons() -> std::deque<daemon>&;
    auto now() const -> millis;
    auto stored() const -> const configuration&;

    // A store that is down does not notify its watchers.
    auto set_store_up(bool up) -> void;

    // True when every running daemon that joined at least allowed ago has the
    // version that the store had at that time, or a newer one.
    auto all_converged_within(millis allowed) const -> bool;

    auto bytes_sent() const -> std::uint64_t;

private:
    auto send(const endpoint& to, const control_message& message) -> void;
    auto deliver() -> void;
    auto notify_watchers() -> void;
    auto publish_records() -> void;

    random_source random_;
    delivery_faults faults_;
    millis now_ = seconds(1);
    bool store_up_ = true;
    std::deque<daemon> daemons_;
    std::vector<member_record> records_;
    std::multimap<millis, std::pair<endpoint, control_message>> queue_;
    std::shared_ptr<const configuration> stored_;
    std::vector<std::pair<millis, configuration_version>> written_;
    std::uint64_t bytes_sent_ = 0;
};

} // namespace briardrum::tests

#endif
