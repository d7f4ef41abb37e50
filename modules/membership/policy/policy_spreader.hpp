#ifndef BRIARDRUM_MEMBERSHIP_POLICY_POLICY_SPREADER_HPP
#define BRIARDRUM_MEMBERSHIP_POLICY_POLICY_SPREADER_HPP

#include "membership/member_view.hpp"
#include "wire/messages/placement_policy.hpp"

#include <map>

namespace briardrum
{

struct policy_spreader_settings
{
    // A changed policy is sent to this many random members in each round. A
    // member that learns it does the same, so that the number of members that
    // have it grows sixfold per round.
    std::uint32_t members_per_round = 5;
    std::uint32_t rounds = 4;
    // Above the time in which a message passes a congested link of 10 Mbit/s
    // most of the time.
    millis round_interval = milliseconds(200);
    // Between two messages that repair what was lost.
    millis repair_interval = seconds(1);
    // Between requests while no policy is known, and members asked each time.
    millis request_interval = milliseconds(100);
    std::uint32_t members_per_request = 2;
    // Least time between two answers to the same member.
    millis answer_interval = milliseconds(200);
};

// What the store says at a revision.
struct stored_policy
{
    // The content, with the revision of its last change.
    placement_policy policy;
    // The newest revision at which the store still had this content.
    std::int64_t confirmed_revision = 0;
};

struct policy_spreader_counters
{
    std::uint64_t sent = 0;
    std::uint64_t requests = 0;
    std::uint64_t changes = 0;
    // Policies of members that were older than the own one.
    std::uint64_t outdated = 0;
};

struct policy_spreader_hooks
{
    std::function<void(const endpoint& to, placement_policy_message)> send;
    // Called with each policy whose content or era differs from the one before.
    std::function<void(millis now, const placement_policy&)> on_policy;
    event_sink events;
};

// Holds the newest placement policy of this process and exchanges it with other
// members. Does no I/O.
//
// Call on_store() with each answer of the store, in processes that watch it,
// on_message() with each policy message of a member, and tick() about every
// 20 to 100 ms.
class policy_spreader
{
public:
    policy_spreader(const member_view& members,
                    policy_spreader_settings settings,
                    policy_spreader_hooks hooks, std::uint64_t seed);

    // A policy from the store replaces the held one if it is newer. If only the
    // revision differs, the held one is kept.
    auto on_store(millis now, const stored_policy& stored) -> void;

    // from and from_address are the sender, to whom an older policy or a
    // request is answered.
    auto on_message(millis now, member_id from, const endpoint& from_address,
                    const placement_policy_message& message) -> void;

    auto tick(millis now) -> void;

    // Returns true once a policy is known.
    auto is_known() const -> bool;

    // The newest policy; revision 0 if none is known.
    auto policy() const -> const placement_policy&;
    auto counters() const -> const policy_spreader_counters&;

private:
    auto adopt(millis now, const placement_policy& next,
               std::string_view source) -> void;
    auto is_denied_by_store(const placement_policy& theirs) const -> bool;
    auto answer(millis now, member_id to, const endpoint& address) -> void;
    auto send_round(millis now) -> void;
    auto send_to_random(std::uint32_t count,
                        const placement_policy_message& message)
        -> std::uint32_t;
    auto forget_answers(millis now) -> void;

    const member_view& members_;
    policy_spreader_settings settings_;
    policy_spreader_hooks hooks_;
    random_source random_;
    placement_policy policy_;
    // The store had the content of policy_ at this revision of its era; 0 if
    // the policy came from a member.
    std::int64_t confirmed_revision_ = 0;
    std::uint32_t rounds_left_ = 0;
    millis next_round_;
    millis next_repair_;
    millis next_request_;
    std::map<member_id, millis> answered_at_;
    policy_spreader_counters counters_;
};

// Returns the names of the evacuated data centres for an event, or "none".
auto evacuated_text(const placement_policy& policy) -> std::string;

} // namespace briardrum

#endif
