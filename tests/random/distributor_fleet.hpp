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

// How unkind the network of a distributor_fleet is.
struct delivery_faults
{
    double drop = 0;
    double duplicate = 0;
    millis delay_max = milliseconds(5);
};

// Many configuration spreaders on virtual time, with a store that tells its
// watchers and a network that drops, repeats and reorders. Membership is
// known to all at once; who is paused is not known to anybody.
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

    // Puts the next version into the store.
    auto change() -> void;

    // Lets virtual time pass, in ticks of 50 ms.
    auto run(millis span) -> void;

    auto daemons() -> std::deque<daemon>&;
    auto now() const -> millis;
    auto stored() const -> const configuration&;

    // A store that is down tells its watchers nothing.
    auto set_store_up(bool up) -> void;

    // Every daemon that has run for long enough holds what the store held
    // this long ago.
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
