#ifndef BRIARDRUM_MEMBERSHIP_FAILURE_PROBER_HPP
#define BRIARDRUM_MEMBERSHIP_FAILURE_PROBER_HPP

#include "core/core.hpp"
#include "wire/messages/control_message.hpp"

#include <functional>
#include <map>
#include <span>
#include <vector>

namespace briardrum
{

// Callbacks of a prober.
struct prober_hooks
{
    // Sends to a member; returns false if the member is unknown.
    std::function<bool(member_id, control_body)> send;
    // Chooses the members that are asked to probe the subject indirectly.
    std::function<std::vector<member_id>(member_id subject)> choose_helpers;
    // Called when neither the direct nor an indirect probe was answered in
    // time.
    std::function<void(member_id)> failed;
};

// Sends direct and indirect probes. A probe that is not answered within one
// timeout is repeated through a few other members, and fails if these get no
// answer within two more timeouts.
class prober
{
public:
    prober(member_id self, millis timeout, prober_hooks hooks);

    // Starts a direct probe of a member.
    auto start(millis now, member_id subject) -> void;

    // Returns true while a probe of this member is unanswered.
    auto is_probing(member_id subject) const -> bool;

    // Answers a probe of this member, or probes another member on behalf of the
    // sender.
    auto on_probe(millis now, member_id from, const probe_message& message)
        -> void;
    auto on_ack(millis now, const probe_ack_message& message) -> void;

    auto tick(millis now) -> void;

    // Restarts every pending probe after a pause of this process, during which
    // answers may have arrived and not been read.
    auto restart_timeouts(millis now) -> void;

private:
    struct pending_probe
    {
        member_id subject = 0;
        millis due;
        bool indirect = false;
    };

    struct relayed_probe
    {
        member_id subject = 0;
        member_id requester = 0;
        std::uint64_t requester_sequence = 0;
        millis due;
    };

    auto probe_indirectly(millis now, std::uint64_t sequence,
                          pending_probe& probe) -> void;

    member_id self_;
    millis timeout_;
    prober_hooks hooks_;
    std::uint64_t next_sequence_ = 1;
    std::map<std::uint64_t, pending_probe> pending_;
    std::map<std::uint64_t, relayed_probe> relayed_;
};

} // namespace briardrum

#endif
