#ifndef BRIARDRUM_TESTS_FAKES_MEMBERSHIP_FLEET_HPP
#define BRIARDRUM_TESTS_FAKES_MEMBERSHIP_FLEET_HPP

#include "membership/membership.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace briardrum::tests
{

// What the network of a membership_fleet does to messages.
struct network_faults
{
    double loss = 0;
    double duplicates = 0;
    millis delay = milliseconds(1);
    // Random further delay, which reorders messages.
    millis jitter;
};

// Member views joined by a queue of messages on virtual time. Members are
// named by their place, 0 upwards.
class membership_fleet
{
public:
    membership_fleet(std::uint64_t seed, network_faults faults);

    // Starts a member with the control address of member 0 to start from.
    // Takes the place of a stopped one when place is given.
    auto start(const member_record& record,
               std::optional<std::size_t> index = {}) -> std::size_t;

    // Ends a process: its messages and its memory are lost.
    auto stop(std::size_t index) -> void;

    // A paused process runs nothing; what is sent to it waits.
    auto pause(std::size_t index) -> void;
    auto resume(std::size_t index) -> void;

    // Loses every message on the way from one to another.
    auto block_link(std::size_t from, std::size_t to) -> void;
    auto isolate(std::size_t index) -> void;
    auto heal() -> void;

    auto run(millis span) -> void;

    // Runs until the condition holds; false when it does not in time.
    auto run_until(const std::function<bool()>& condition, millis limit)
        -> bool;

    auto view(std::size_t index) -> member_view&;
    auto size() const -> std::size_t;
    auto now() const -> millis;

    // True when every running member believes this of a member.
    auto all_see(member_id id, member_state state) -> bool;

    // True when all running members know each other as ready.
    auto converged() -> bool;

    auto messages() const -> std::uint64_t;
    auto records_sent() const -> std::uint64_t;
    auto reset_counts() -> void;

    // Events by name over all members.
    std::map<std::string, std::uint64_t, std::less<>> events;
    // Members that some member claimed dead at any time.
    std::set<member_id> declared_dead;

private:
    struct node
    {
        std::unique_ptr<member_view> view;
        std::vector<control_message> waiting;
        endpoint address;
        bool paused = false;
    };

    struct queued_message
    {
        std::size_t from = 0;
        endpoint to;
        control_message message;
    };

    auto transmit(std::size_t from, const endpoint& to,
                  const control_message& message) -> void;
    auto enqueue(queued_message item) -> void;
    auto step() -> void;
    auto deliver(const queued_message& item) -> void;
    auto find_running(const endpoint& address) -> node*;
    auto hooks_for(std::size_t index) -> membership_hooks;

    random_source random_;
    network_faults faults_;
    std::vector<node> nodes_;
    std::map<std::pair<millis, std::uint64_t>, queued_message> queue_;
    std::set<std::pair<std::size_t, std::size_t>> blocked_links_;
    std::uint64_t next_order_ = 0;
    std::uint64_t messages_ = 0;
    std::uint64_t records_sent_ = 0;
    millis now_ = seconds(1000);
};

// A ready agent of a service with an address made from its number.
auto make_agent(std::uint32_t number, const std::string& service,
                const std::string& data_centre = "marsala") -> member_record;

auto make_balancer(std::uint32_t number,
                   const std::string& data_centre = "marsala") -> member_record;

} // namespace briardrum::tests

#endif
