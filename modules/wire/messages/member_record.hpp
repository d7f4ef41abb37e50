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

// Order matters: of two claims about the same incarnation and version, the
// later in this list wins.
enum class member_state : std::uint8_t
{
    joining = 0,
    ready = 1,
    draining = 2,
    // Claimed by others, refuted by the subject with a larger version.
    suspect = 3,
    // Final for this incarnation: said by the subject.
    left = 4,
    // Final for this incarnation: said by others.
    dead = 5,
};

auto to_string(member_state state) -> std::string_view;
auto to_string(member_kind kind) -> std::string_view;

// What is known of one process. Only the subject raises its version; others
// may only add a claim of suspect or dead to the version they know.
struct member_record
{
    member_id id = 0;
    incarnation_number incarnation = 0;
    std::uint32_t version = 0;
    member_kind kind = member_kind::agent;
    member_state state = member_state::joining;
    std::string name;
    std::string data_centre;
    // Where it takes envelopes (UDP) and control messages (TCP).
    endpoint data_address;
    endpoint control_address;
    // Agents only: the service its backend server announced, by name, and
    // how many requests the server runs at once.
    std::string service_name;
    std::uint32_t slots = 0;
    // Percent of its full weight while a started server warms up, 1 to 100.
    std::uint8_t weight_percent = 100;
    // Newest configuration it holds.
    configuration_version held_version = 0;

    auto operator==(const member_record&) const -> bool = default;
};

// True when a claim a replaces b: larger (life, version), then later state.
auto supersedes(const member_record& a, const member_record& b) -> bool;

} // namespace briardrum

#endif
