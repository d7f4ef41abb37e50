#ifndef BRIARDRUM_WIRE_MESSAGES_CONTROL_MESSAGE_HPP
#define BRIARDRUM_WIRE_MESSAGES_CONTROL_MESSAGE_HPP

#include "config/model/configuration_change.hpp"
#include "wire/messages/flow_record.hpp"
#include "wire/messages/member_record.hpp"

#include <string>
#include <variant>
#include <vector>

namespace briardrum
{

// Membership: records the sender believes; the receiver merges them. want_all
// asks for everything the receiver knows (a newcomer's first message).
struct gossip_message
{
    std::vector<member_record> records;
    bool want_all = false;

    auto operator==(const gossip_message&) const -> bool = default;
};

// Failure detection. subject is who is to answer: the receiver itself, or a
// third member that the receiver is asked to probe for the sender.
struct probe_message
{
    std::uint64_t sequence = 0;
    member_id subject = 0;

    auto operator==(const probe_message&) const -> bool = default;
};

// The answer to a probe. subject is who was found alive.
struct probe_ack_message
{
    std::uint64_t sequence = 0;
    member_id subject = 0;

    auto operator==(const probe_ack_message&) const -> bool = default;
};

// A joining server's future flows: the redirects of flows whose home it will
// become. last marks the final part, which names every other agent of the
// service that the sender knows, so that a joiner waits for those too that it
// has not heard of itself. Acknowledged by sequence.
struct redirects_message
{
    std::uint64_t sequence = 0;
    std::vector<redirect_record> redirects;
    bool last = false;
    std::vector<member_id> peers;

    auto operator==(const redirects_message&) const -> bool = default;
};

// A flow that moves to the receiver; resent until acknowledged.
struct hand_over_message
{
    std::uint64_t sequence = 0;
    flow_record flow;

    auto operator==(const hand_over_message&) const -> bool = default;
};

// Acknowledges a redirects_message or a hand_over_message. accepted is false
// when the receiver refuses the flow (it is draining itself, or holds a
// larger generation).
struct transfer_ack_message
{
    std::uint64_t sequence = 0;
    bool accepted = true;

    auto operator==(const transfer_ack_message&) const -> bool = default;
};

// Configuration from a peer: the changes that lead from one version to the
// next. from_version 0 means the changes are a whole snapshot.
struct configuration_message
{
    configuration_version from_version = 0;
    configuration_version to_version = 0;
    std::vector<configuration_change> changes;

    auto operator==(const configuration_message&) const -> bool = default;
};

// Asks a peer for configuration newer than this.
struct configuration_request
{
    configuration_version held_version = 0;

    auto operator==(const configuration_request&) const -> bool = default;
};

// How loaded an agent is, told to the other agents of its service.
struct load_message
{
    service_id service = 0;
    std::uint32_t flows = 0;
    // Requests answered per second, and queued or running now.
    std::uint32_t rate = 0;
    std::uint32_t in_progress = 0;

    auto operator==(const load_message&) const -> bool = default;
};

// Keeps a control connection known to be alive; sent both ways.
struct heartbeat_message
{
    std::uint64_t sequence = 0;

    auto operator==(const heartbeat_message&) const -> bool = default;
};

using control_body =
    std::variant<gossip_message, probe_message, probe_ack_message,
                 redirects_message, hand_over_message, transfer_ack_message,
                 configuration_message, configuration_request, load_message,
                 heartbeat_message>;

// A control message with its sender. Every kind is idempotent: receiving it
// twice is the same as once.
struct control_message
{
    member_id from = 0;
    incarnation_number from_incarnation = 0;
    control_body body;

    auto operator==(const control_message&) const -> bool = default;
};

} // namespace briardrum

#endif
