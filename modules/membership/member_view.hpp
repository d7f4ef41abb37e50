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

// What a member_view needs from its process.
struct membership_hooks
{
    // Sends to a control address; delivery is not promised.
    std::function<void(const endpoint&, const control_message&)> send;
    // A record changed; before is nullptr for a new member. The own record
    // comes here too: a larger life in it means that this process was taken
    // for dead and goes on as a new incarnation.
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
    member_view(const member_record& self,
                std::vector<endpoint> start_addresses,
                membership_settings settings, membership_hooks hooks,
                std::uint64_t seed);
    member_view(const member_view&) = delete;
    auto operator=(const member_view&) -> member_view& = delete;

    // More addresses to start from, found after the start.
    auto add_start_addresses(std::span<const endpoint> more) -> void;

    // Handles gossip, probes and probe answers; false for other kinds.
    auto on_control(millis now, const control_message& message) -> bool;

    // Gossips, probes and times out.
    auto tick(millis now) -> void;

    // Traffic sent to a member went unanswered: probes it before its turn.
    auto probe_now(millis now, member_id id) -> void;

    // Changes to the own record, each raising its version.
    auto set_state(millis now, member_state state) -> void;
    auto set_weight(millis now, std::uint8_t weight_percent) -> void;
    auto set_slots(millis now, std::uint32_t slots) -> void;
    auto set_service(millis now, const std::string& service_name) -> void;

    // The newest configuration held. It changes on every process at once, so
    // it raises no version and goes out with whatever is sent next.
    auto set_held_version(millis now, configuration_version version) -> void;

    auto self() const -> const member_record&;

    // True when another process, at another address, goes by this member's
    // name with a later life. This process then says nothing more; it should
    // end.
    auto is_replaced() const -> bool;

    // True once enough other members told this newcomer all they know.
    auto has_synchronised() const -> bool;

    // True while no other live member is known.
    auto is_alone() const -> bool;

    // True when nothing was heard from any other member for a while.
    auto is_isolated(millis now) const -> bool;

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
    template <typename Change>
    auto change_self(Change change) -> void;
    auto on_gossip(millis now, const control_message& message,
                   const gossip_message& gossip) -> void;
    auto address_of_sender(member_id from, const gossip_message& gossip) const
        -> endpoint;
    auto on_update(millis now, const member_record& update, bool spread)
        -> merge_outcome;
    auto on_update_about_self(const member_record& update) -> void;
    auto refute(const member_record& update) -> void;
    auto raise_incarnation(const member_record& update) -> void;
    auto declare_state(millis now, member_id id, member_state state) -> void;
    auto after_change(millis now, const merge_result& result, member_id id,
                      bool spread) -> void;
    auto report_change(const member_record& after, const member_record* before)
        -> void;
    auto notify_sender_of_its_state(millis now, const control_message& message)
        -> void;
    auto detect_pause(millis now) -> void;
    auto record_contact(millis now, member_id from) -> void;
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
    // When each member that left or died was found so.
    std::map<member_id, millis> departed_at_;
    // When a member was last told what is believed of it.
    std::map<member_id, millis> last_notified_;
    millis last_active_;
    millis last_heard_;
    millis next_join_;
    millis next_forget_;
    bool active_ = false;
    // Whom this newcomer asked for everything, and how many answered.
    endpoint sync_target_;
    std::uint32_t sync_answers_ = 0;
    bool replaced_ = false;
};

} // namespace briardrum

#endif
