#ifndef BRIARDRUM_MEMBERSHIP_MEMBERSHIP_SETTINGS_HPP
#define BRIARDRUM_MEMBERSHIP_MEMBERSHIP_SETTINGS_HPP

#include "core/time/millis.hpp"

#include <cstdint>

namespace briardrum
{

// Times and sizes of gossip and failure detection.
struct membership_settings
{
    millis gossip_interval = milliseconds(200);
    millis probe_interval = milliseconds(500);
    millis probe_timeout = milliseconds(200);
    // How long a suspect may refute before it counts as dead.
    millis suspicion_timeout = seconds(2);
    // How long a dead or departed member's record is kept, so that an old
    // claim cannot bring it back.
    millis forget_after = minutes(10);
    // How often one message of records that need not have changed is sent to
    // one other member, which repairs what gossip missed.
    millis anti_entropy_interval = seconds(10);
    // How often a newcomer asks a member for everything it knows, until so many
    // answered: the first may itself have known little. While it knows nobody
    // it may ask more often.
    millis join_interval = seconds(1);
    millis join_interval_when_alone = seconds(1);
    std::uint32_t join_requests_when_alone = 1;
    std::uint32_t join_answers = 3;
    std::uint32_t gossip_fanout = 3;
    std::uint32_t indirect_probes = 2;
    // Records in one gossip message.
    std::uint32_t records_per_message = 24;
};

} // namespace briardrum

#endif
