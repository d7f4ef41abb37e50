#ifndef BRIARDRUM_MEMBERSHIP_MEMBER_VIEW_HPP
#define BRIARDRUM_MEMBERSHIP_MEMBER_VIEW_HPP

#include "core/core.hpp"
#include "membership/failure/failure_detector.hpp"
#include "membership/gossip/gossiper.hpp"
#include "membership/membership_settings.hpp"
#include "membership/records/member_table.hpp"
#include "wire/wire.hpp"

#include <functional>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace briardrum
{

// Callbacks of a member_view.
struct membership_hooks
{
    // Sends to a control address; delivery is not guaranteed.
    std::function<void(const endpoint&, const control_message&)> send;
    // Called when a record changes; before is nullptr for a new member. Also
    // called for the own record: a larger incarnation in it means that this
    // process was declared dead and continues as a new incarnation.
    std::function<void(const member_record& after, const member_record* before)>
        changed;
    event_sink events;
    // Called for an agent that has left or died and was not known before, which
    // gets no record; may be empty.
    std::function<void(millis now, const member_record&)> heard_of_departed =
        nullptr;
};

// One process's view of all members, itself included.
//
// Create it with the own record and the control addresses of a few members to
// contact first. Call tick() about every 100 ms and on_control() for every
// control message; the records can be read at any time. Views of different
// processes may differ for a while; the routing module tolerates that.
class member_view
{
public:
    member_view(const member_record& self,
                std::vector<endpoint> start_addresses,
                membership_settings settings, membership_hooks hooks,
                std::uint64_t seed);
    member_view(const member_view&) = delete;
    auto operator=(const member_view&) -> member_view& = delete;

    // Adds start addresses that became known after construction. Each at which
    // no live member is known is asked for records a limited number of times,
    // until a member there is known.
    auto add_start_addresses(std::span<const endpoint> more) -> void;

    // Handles gossip, probes and probe answers; returns false for other message
    // kinds.
    auto on_control(millis now, const control_message& message) -> bool;

    // Runs due gossip rounds, probes and timeouts.
    auto tick(millis now) -> void;

    // Probes a member ahead of its turn after traffic to it went unanswered.
    auto probe_now(millis now, member_id id) -> void;

    // Change the own record; each call increments its version.
    auto set_state(millis now, member_state state) -> void;
    auto set_weight(millis now, std::uint8_t weight_percent) -> void;
    auto set_slots(millis now, std::uint32_t slots) -> void;
    auto set_service(millis now, const std::string& service_name) -> void;

    // Sets the newest configuration version held here. Every process changes it
    // at about the same time, so it does not increment the record's version and
    // is sent with the next message that carries the record.
    auto set_held_version(millis now, configuration_version version) -> void;

    auto self() const -> const member_record&;

    // Returns true if a process at another address uses this member's name with
    // a later incarnation. This process then sends nothing more and should
    // exit.
    auto is_replaced() const -> bool;

    // Returns true once enough members have sent all their records.
    auto has_synchronised() const -> bool;

    // Returns true while no other live member is known.
    auto is_alone() const -> bool;

    // Returns true if no message from another member arrived for two probe
    // intervals plus three probe timeouts.
    auto is_isolated(millis now) const -> bool;

    // Returns the record of a member, or nullptr if it is unknown.
    auto find(member_id id) const -> const member_record*;

    // Returns all records, including dead members, in the order in which they
    // became known.
    auto records() const -> std::span<const member_record>;

    // Returns the agents that announced this service and have not left or died,
    // sorted by id.
    auto agents_of(const std::string& service_name) const
        -> std::span<const member_id>;

    // Returns the balancers that have not left or died, sorted by id.
    auto balancers() const -> std::span<const member_id>;

    // Returns the live members, this one included, sorted by id.
    auto live() const -> std::span<const member_id>;

    // Digest of the ids of the live members that answer flow queries. Two
    // members with the same digest agree on these.
    auto members_digest() const -> std::uint64_t;

    // Incremented whenever a record changes in a way that affects routing.
    auto epoch() const -> std::uint64_t;

private:
    template <typename Change>
    auto change_self(Change change) -> void;
    auto on_gossip(millis now, const control_message& message,
                   const gossip_message& gossip) -> void;
    auto contact_unknown_sender(member_id from, const endpoint& address)
        -> void;
    auto address_of_sender(member_id from, const gossip_message& gossip) const
        -> endpoint;
    auto on_update(millis now, const member_record& update, bool gossip_further)
        -> merge_outcome;
    auto on_update_about_self(const member_record& update) -> void;
    auto refute(const member_record& update) -> void;
    auto raise_incarnation(const member_record& update) -> void;
    auto declare_state(millis now, member_id id, member_state state) -> void;
    auto after_change(millis now, const merge_result& result, member_id id,
                      bool gossip_further) -> void;
    auto report_change(const member_record& after, const member_record* before)
        -> void;
    auto notify_sender_of_its_state(millis now, const control_message& message)
        -> void;
    auto detect_pause(millis now) -> void;
    auto record_contact(millis now, member_id from) -> void;
    auto report_unknown_sender(millis now, const control_message& message)
        -> void;
    auto join(millis now) -> void;
    auto record_sync_answer(const endpoint& from) -> void;
    auto resynchronise() -> void;
    auto forget(millis now) -> void;
    auto send_to(const endpoint& to, control_body body) -> void;
    auto send_to(member_id id, control_body body) -> bool;

    member_id self_;
    membership_settings settings_;
    membership_hooks hooks_;
    random_source random_;
    member_table members_;
    gossiper gossiper_;
    failure_detector failure_;
    // When each member that left or died was first seen so.
    std::map<member_id, millis> departed_at_;
    // When each member was last sent its own record as known here.
    std::map<member_id, millis> last_notified_;
    millis last_active_;
    millis last_heard_;
    millis next_join_;
    millis next_forget_;
    millis next_unknown_sender_report_;
    bool active_ = false;
    // The member asked last for all records, and how many answered so far.
    endpoint sync_target_;
    std::uint32_t sync_answers_ = 0;
    bool replaced_ = false;
};

} // namespace briardrum

#endif
