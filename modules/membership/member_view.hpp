#ifndef BRIARDRUM_MEMBERSHIP_MEMBER_VIEW_HPP
#define BRIARDRUM_MEMBERSHIP_MEMBER_VIEW_HPP

#include "core/core.hpp"
#include "wire/wire.hpp"

#include <functional>
#include <span>
#include <string>
#include <vector>

namespace briardrum
{

// Times and sizes of gossip and failure detection.
struct membership_settings
{
    millis gossip_interval = milliseconds(200);
    millis probe_interval = milliseconds(500);
    millis probe_timeout = milliseconds(300);
    // How long a suspect may refute before it counts as dead.
    millis suspicion_timeout = seconds(2);
    // How long a dead or departed member's record is kept, so that an old
    // claim cannot bring it back.
    millis forget_after = minutes(10);
    std::uint32_t gossip_fanout = 3;
    std::uint32_t indirect_probes = 2;
    // Records in one gossip message.
    std::uint32_t records_per_message = 24;
};

// What a member_view needs from its process.
struct membership_hooks
{
    // Sends to a control address; delivery is not promised.
    std::function<void(const endpoint&, const control_message&)> send;
    // A record changed; before is nullptr for a new member.
    std::function<void(const member_record& after, const member_record* before)>
        changed;
    event_sink events;
};

// One process's view of all members, itself included.
//
// Create it with the own record and the control addresses of a few members to
// start from; call tick() every 100 ms or so and on_control() for every
// control message; read the records at any time. The view of another process
// may differ for a while: see routing for how that is borne.
class member_view
{
public:
    member_view(member_record self, std::vector<endpoint> start_addresses,
                membership_settings settings, membership_hooks hooks,
                std::uint64_t seed);

    // Handles gossip, probes and probe answers; false for other kinds.
    auto on_control(millis now, const control_message& message) -> bool;

    // Gossips, probes and times out.
    auto tick(millis now) -> void;

    // Changes to the own record, each raising its version.
    auto set_state(millis now, member_state state) -> void;
    auto set_weight(millis now, std::uint8_t weight_percent) -> void;
    auto set_slots(millis now, std::uint32_t slots) -> void;
    auto set_holds(millis now, configuration_version version) -> void;

    auto self() const -> const member_record&;

    // The record of a member, or nullptr when it is not known.
    auto find(member_id id) const -> const member_record*;

    // Every record, dead ones included, in the order they were learnt.
    auto records() const -> std::span<const member_record>;

    // Agents that announced this service and are not left or dead, by id.
    auto agents_of(const std::string& service_name) const
        -> std::span<const member_id>;

    // Balancers that are not left or dead, by id.
    auto balancers() const -> std::span<const member_id>;

    // Raised whenever any record changes in a way that routing can see.
    auto epoch() const -> std::uint64_t;

private:
    member_record self_;
};

} // namespace briardrum

#endif
