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

// Network faults that a membership_fleet injects.
struct network_faults
{
    double loss = 0;
    double duplicates = 0;
    millis delay = milliseconds(1);
    // Maximum random extra delay, which reorders messages.
    millis jitter;
};

// Member views connected by a message queue on virtual time. Members are
// identified by their index, starting at 0.
class membership_fleet
{
public:
    membership_fleet(std::uint64_t seed, network_faults faults);

    // Starts a member with the control address of member 0 as start address. If
    // index is given, the new member replaces the stopped one there.
    auto start(const member_record& record,
               std::optional<std::size_t> index = {}) -> std::size_t;

    // Kills a process; its pending messages and its state are lost.
    auto stop(std::size_t index) -> void;

    // Suspends a process; messages sent to it wait until resume().
    auto pause(std::size_t index) -> void;
    auto resume(std::size_t index) -> void;

    // Drops every message from one member to another.
    auto block_link(std::size_t from, std::size_t to) -> void;
    auto isolate(std::size_t index) -> void;
    auto heal() -> void;

    auto run(millis span) -> void;

    // Runs until the condition holds; returns false if it does not within the
    // limit.
    auto run_until(const std::function<bool()>& condition, millis limit)
        -> bool;

    auto view(std::size_t index) -> member_view&;
    auto size() const -> std::size_t;
    auto now() const -> millis;

    // Returns true if every running member has this state recorded for a
    // member.
    auto all_see(member_id id, member_state state) -> bool;

    // Returns true if all running members know each other as ready.
    auto converged() -> bool;

    auto messages() const -> std::uint64_t;
    auto records_sent() const -> std::uint64_t;
    auto reset_counts() -> void;

    // Event counts by name over all members.
    std::map<std::string, std::uint64_t, std::less<>> events;
    // Members that any member declared dead at any time.
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

// Returns a ready agent of a service with an address derived from its number.
auto make_agent(std::uint32_t number, const std::string& service,
                const std::string& data_centre = "marsala") -> member_record;

auto make_balancer(std::uint32_t number,
                   const std::string& data_centre = "marsala") -> member_record;

} // namespace briardrum::tests

#endif
