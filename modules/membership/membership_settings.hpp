#ifndef BRIARDRUM_MEMBERSHIP_MEMBERSHIP_SETTINGS_HPP
#define BRIARDRUM_MEMBERSHIP_MEMBERSHIP_SETTINGS_HPP

#include "core/time/millis.hpp"

#include <cstdint>

namespace briardrum
{

// Timing and sizes of gossip and failure detection.
struct membership_settings
{
    millis gossip_interval = milliseconds(200);
    millis probe_interval = milliseconds(500);
    millis probe_timeout = milliseconds(200);
    // Time in which a suspect may refute before it is declared dead.
    millis suspicion_timeout = seconds(2);
    // How long the record of a dead or departed member is kept, so that an
    // outdated update cannot bring the member back.
    millis forget_after = minutes(10);
    // Interval between anti-entropy messages, which send a batch of records to
    // one other member whether they changed or not and repair what gossip
    // missed.
    millis anti_entropy_interval = seconds(10);
    // Interval between requests for all records while joining, and the number
    // of answers required: the first member asked may know little itself. While
    // no other member is known, requests may be sent more often.
    millis join_interval = seconds(1);
    millis join_interval_when_alone = seconds(1);
    std::uint32_t join_requests_when_alone = 1;
    std::uint32_t join_answers = 3;
    std::uint32_t gossip_fanout = 3;
    std::uint32_t indirect_probes = 2;
    // Maximum number of records in one gossip message.
    std::uint32_t records_per_message = 24;
};

} // namespace briardrum

#endif
