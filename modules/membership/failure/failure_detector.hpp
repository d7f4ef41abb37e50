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

// What a failure_detector asks of its owner.
struct failure_hooks
{
    // Sends to a member; false when it is not known here.
    std::function<bool(member_id, control_body)> send;
    // Claims that a member is suspect or dead.
    std::function<void(millis now, member_id, member_state)> declare;
};

// Finds members that no longer answer. A member that misses a direct and the
// indirect probes is claimed suspect; a suspect that does not refute in time
// is claimed dead. The number of probes sent does not depend on the number of
// members, and neither does the mean time until a dead one is probed.
class failure_detector
{
public:
    failure_detector(const member_table& members, member_id self,
                     const membership_settings& settings, failure_hooks hooks,
                     std::uint64_t seed);

    auto on_probe(millis now, member_id from, const probe_message& message)
        -> void;
    auto on_ack(millis now, const probe_ack_message& message) -> void;

    // A member's record changed: starts or ends its time as a suspect.
    auto on_changed(millis now, const member_record& record) -> void;

    // Probes and times out. An isolated process hears nobody, so that it
    // learns nothing about others from their silence.
    auto tick(millis now, bool isolated) -> void;

    // Traffic went unanswered at a member: it is probed at once instead of in
    // its turn, unless one such probe was sent a moment ago.
    auto probe_now(millis now, member_id id) -> void;

    // This process was paused: all waiting starts again.
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
    // Until then this member, cut off a while ago, declares nobody dead.
    millis recovering_until_;
    bool isolated_ = false;
    // When each suspect's time is over.
    std::map<member_id, millis> suspects_;
};

} // namespace briardrum

#endif
