#ifndef BRIARDRUM_MEMBERSHIP_FAILURE_FAILURE_DETECTOR_HPP
#define BRIARDRUM_MEMBERSHIP_FAILURE_FAILURE_DETECTOR_HPP

#include "membership/failure/prober.hpp"
#include "membership/membership_settings.hpp"
#include "membership/records/member_rotation.hpp"
#include "membership/records/member_table.hpp"

#include <functional>
#include <map>

namespace briardrum
{

// Callbacks of a failure_detector.
struct failure_hooks
{
    // Sends to a member; returns false if the member is unknown.
    std::function<bool(member_id, control_body)> send;
    // Declares a member suspect or dead.
    std::function<void(millis now, member_id, member_state)> declare;
};

// Detects failed members. A member that answers neither a direct probe nor the
// indirect ones is declared suspect; a suspect that does not refute in time is
// declared dead. The number of probes sent and the mean time until a dead
// member is probed do not depend on the number of members.
class failure_detector
{
public:
    failure_detector(const member_table& members, member_id self,
                     const membership_settings& settings, failure_hooks hooks,
                     std::uint64_t seed);

    auto on_probe(millis now, member_id from, const probe_message& message)
        -> void;
    auto on_ack(millis now, const probe_ack_message& message) -> void;

    // Starts or ends a suspicion after a change of a member's record.
    auto on_changed(millis now, const member_record& record) -> void;

    // Sends due probes and handles timeouts. An isolated process receives
    // nothing from anyone, so it draws no conclusions from missing answers.
    auto tick(millis now, bool isolated) -> void;

    // Probes a member that left traffic unanswered, ahead of its turn. Does
    // nothing if another such probe was sent less than 100 ms ago.
    auto probe_now(millis now, member_id id) -> void;

    // Restarts all timeouts after a pause of this process.
    auto restart_timeouts(millis now) -> void;

private:
    auto probe_next(millis now) -> void;
    auto next_subject() -> member_id;
    auto may_probe(member_id id) const -> bool;
    auto own_data_centre() const -> const std::string&;
    auto remote_members() const -> std::vector<member_id>;
    auto choose_helpers(member_id subject) -> std::vector<member_id>;
    auto recovery_time() const -> millis;
    auto suspicion_timeout() const -> millis;
    auto extend_suspicions(millis now) -> void;
    auto expire_suspicions(millis now) -> void;

    const member_table& members_;
    member_id self_;
    membership_settings settings_;
    failure_hooks hooks_;
    random_source random_;
    prober prober_;
    member_rotation local_rotation_;
    member_rotation remote_rotation_;
    std::uint64_t probe_count_ = 0;
    millis now_;
    millis next_probe_;
    millis next_extra_probe_;
    // After isolation, no member is declared dead before this time.
    millis recovering_until_;
    bool isolated_ = false;
    // Suspects and when their suspicion times out.
    std::map<member_id, millis> suspects_;
};

} // namespace briardrum

#endif
