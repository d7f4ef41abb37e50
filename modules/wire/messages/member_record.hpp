#ifndef BRIARDRUM_WIRE_MESSAGES_MEMBER_RECORD_HPP
#define BRIARDRUM_WIRE_MESSAGES_MEMBER_RECORD_HPP

#include "core/core.hpp"

#include <string>

namespace briardrum
{

enum class member_kind : std::uint8_t
{
    balancer = 0,
    agent = 1,
};

// Of two records of the same incarnation and version, the one whose state is
// later in this list takes precedence.
enum class member_state : std::uint8_t
{
    joining = 0,
    ready = 1,
    draining = 2,
    // Declared by other members; the subject refutes it with a larger version.
    suspect = 3,
    // Final for this incarnation, declared by the subject.
    left = 4,
    // Final for this incarnation, declared by other members.
    dead = 5,
};

auto to_string(member_state state) -> std::string_view;
auto to_string(member_kind kind) -> std::string_view;

// Membership record of one process. Only the subject increases its version;
// other members may only declare the version they know suspect or dead.
struct member_record
{
    member_id id = 0;
    incarnation_number incarnation = 0;
    std::uint32_t version = 0;
    member_kind kind = member_kind::agent;
    member_state state = member_state::joining;
    std::string name;
    std::string data_centre;
    // Addresses that receive envelopes (UDP) and control messages (TCP).
    endpoint data_address;
    endpoint control_address;
    // Agents only: the name of the service announced by its backend server,
    // and the number of requests that the server runs concurrently.
    std::string service_name;
    std::uint32_t slots = 0;
    // Percentage of the full weight, 1 to 100; reduced while the agent finds
    // its server faulty.
    std::uint8_t weight_percent = 100;
    // Newest configuration version that the member has.
    configuration_version held_version = 0;

    auto operator==(const member_record&) const -> bool = default;
};

// Returns true if record a replaces b. The larger incarnation wins; within an
// incarnation left and dead win over other states, then the larger version,
// then the later state.
auto supersedes(const member_record& a, const member_record& b) -> bool;

} // namespace briardrum

#endif
