#ifndef BRIARDRUM_WIRE_MESSAGES_PLACEMENT_POLICY_HPP
#define BRIARDRUM_WIRE_MESSAGES_PLACEMENT_POLICY_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace briardrum
{

// Limit on new flows for the cold servers of one service.
struct service_warm_up
{
    // Hash of the service name, as in packet_label::service.
    std::uint32_t service = 0;
    // Thousandths of a request per second that a cold server takes.
    std::uint32_t requests_per_second_milli = 0;

    auto operator==(const service_warm_up&) const -> bool = default;
};

// What operators decided about where new flows may be placed. Its content is a
// function of the store's keys at a revision, so two processes with the same
// era and revision have the same content.
struct placement_policy
{
    // Era of the store, and the revision of the last change of the content; 0
    // if no policy is known.
    std::uint64_t era = 0;
    std::int64_t revision = 0;
    // Names of the data centres whose servers get no new flows, sorted.
    std::vector<std::string> evacuated;
    // Services whose cold servers are limited, sorted by service.
    std::vector<service_warm_up> warm_up;

    auto operator==(const placement_policy&) const -> bool = default;

    // Returns true if this policy replaces the other one. Restores increase the
    // era, and revisions are given out again in the new one.
    auto supersedes(const placement_policy& other) const -> bool
    {
        return era != other.era ? era > other.era : revision > other.revision;
    }
};

} // namespace briardrum

#endif
