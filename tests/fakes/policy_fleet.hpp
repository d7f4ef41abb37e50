#ifndef BRIARDRUM_TESTS_FAKES_POLICY_FLEET_HPP
#define BRIARDRUM_TESTS_FAKES_POLICY_FLEET_HPP

#include "tests/fakes/membership_fleet.hpp"

namespace briardrum::tests
{

// Policy spreaders on virtual time whose members all know each other. Messages
// are lost, delayed and reordered as the faults have it.
class policy_fleet
{
public:
    policy_fleet(std::uint64_t seed, std::uint32_t count,
                 network_faults faults);

    auto run(millis span) -> void;

    // Runs until all members have a policy with this content; returns how long
    // that took, or nothing if it took longer than the limit.
    auto run_until_known(const std::vector<std::string>& evacuated,
                         millis limit) -> std::optional<millis>;

    // The process starts again and has lost its policy.
    auto restart(std::size_t index) -> void;

    auto spreader(std::size_t index) -> policy_spreader&;
    auto now() const -> millis;

    std::uint64_t messages = 0;
    // Policies that a member took over although it had a newer one.
    std::uint64_t set_back = 0;

private:
    struct node
    {
        std::unique_ptr<member_view> view;
        std::unique_ptr<policy_spreader> spreader;
        placement_policy last;
    };

    struct queued_message
    {
        std::size_t from = 0;
        endpoint to;
        placement_policy_message message;
    };

    auto step() -> void;
    auto send(std::size_t from, const endpoint& to,
              const placement_policy_message& message) -> void;

    random_source random_;
    network_faults faults_;
    std::vector<node> nodes_;
    std::map<endpoint, std::size_t> index_of_;
    std::multimap<millis, queued_message> queue_;
    millis now_ = seconds(1000);
};

} // namespace briardrum::tests

#endif
