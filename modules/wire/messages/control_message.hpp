#ifndef BRIARDRUM_WIRE_MESSAGES_CONTROL_MESSAGE_HPP
#define BRIARDRUM_WIRE_MESSAGES_CONTROL_MESSAGE_HPP

#include "config/model/configuration_change.hpp"
#include "wire/messages/flow_record.hpp"
#include "wire/messages/member_record.hpp"
#include "wire/messages/placement_policy.hpp"

#include <string>
#include <variant>
#include <vector>

namespace briardrum
{

// Membership records of the sender, which the receiver merges into its own.
// want_all requests all records of the receiver; it is set in the first message
// of a joining process.
struct gossip_message
{
    std::vector<member_record> records;
    bool want_all = false;

    auto operator==(const gossip_message&) const -> bool = default;
};

// Failure detection. subject is the member to be probed: the receiver itself,
// or a third member that the receiver is to probe for the sender.
// sender_address is the control address of the sender, for a receiver that has
// started since and does not know the sender; none in messages of older
// versions.
struct probe_message
{
    std::uint64_t sequence = 0;
    member_id subject = 0;
    endpoint sender_address = {};

    auto operator==(const probe_message&) const -> bool = default;
};

// Response to a probe. subject is the member found to be alive.
struct probe_ack_message
{
    std::uint64_t sequence = 0;
    member_id subject = 0;

    auto operator==(const probe_ack_message&) const -> bool = default;
};

// Sent to the agent of a joining server: the redirects of all flows whose home
// it will become. last marks the final part, in which peers lists every other
// agent of the service known to the sender, so that the joining agent also
// waits for agents that it does not know yet. Acknowledged by sequence.
struct redirects_message
{
    std::uint64_t sequence = 0;
    std::vector<redirect_record> redirects;
    bool last = false;
    std::vector<member_id> peers;

    auto operator==(const redirects_message&) const -> bool = default;
};

// Hands a flow over to the receiver. Retransmitted until acknowledged.
struct hand_over_message
{
    std::uint64_t sequence = 0;
    flow_record flow;

    auto operator==(const hand_over_message&) const -> bool = default;
};

// Acknowledges a redirects_message or a hand_over_message. accepted is false if
// the receiver rejects the flow because it is draining or has a larger
// generation of the flow.
struct transfer_ack_message
{
    std::uint64_t sequence = 0;
    bool accepted = true;

    auto operator==(const transfer_ack_message&) const -> bool = default;
};

// Configuration changes from from_version to to_version. If from_version is 0,
// the changes are a full snapshot.
struct configuration_message
{
    configuration_version from_version = 0;
    configuration_version to_version = 0;
    std::vector<configuration_change> changes;

    auto operator==(const configuration_message&) const -> bool = default;
};

// Requests configuration newer than held_version from a peer.
struct configuration_request
{
    configuration_version held_version = 0;

    auto operator==(const configuration_request&) const -> bool = default;
};

// Load of an agent, reported to the other agents of its service.
struct load_message
{
    service_id service = 0;
    std::uint32_t flows = 0;
    // Requests answered per second, and requests currently queued or running.
    std::uint32_t rate = 0;
    std::uint32_t in_progress = 0;

    auto operator==(const load_message&) const -> bool = default;
};

// Shows that a control connection is alive. Sent in both directions.
struct heartbeat_message
{
    std::uint64_t sequence = 0;

    auto operator==(const heartbeat_message&) const -> bool = default;
};

// Asks a member whether these flows are open at the server beside it. Sent to
// every member before a flow is considered lost; answered by a
// flow_reply_message with the same sequence. members_digest identifies the set
// of live members that the sender knows and that answer such queries.
struct flow_query_message
{
    std::uint64_t sequence = 0;
    std::vector<flow_key> flows;
    std::uint64_t members_digest = 0;

    auto operator==(const flow_query_message&) const -> bool = default;
};

// Answers a flow_query_message. A flow in neither list may or may not be open
// at the sender's server. members_digest identifies the set of live members
// that the sender knows and that answer such queries; members lists them, as
// the lower halves of their ids, if the digest differs from that of the query
// and they fit into a datagram.
struct flow_reply_message
{
    std::uint64_t sequence = 0;
    std::uint64_t members_digest = 0;
    std::vector<flow_key> held;
    std::vector<flow_key> absent;
    std::vector<std::uint32_t> members;

    auto operator==(const flow_reply_message&) const -> bool = default;
};

// The newest placement policy of the sender. Revision 0 requests that of the
// receiver; such a message has no content.
struct placement_policy_message
{
    placement_policy policy;

    auto operator==(const placement_policy_message&) const -> bool = default;
};

using control_body =
    std::variant<gossip_message, probe_message, probe_ack_message,
                 redirects_message, hand_over_message, transfer_ack_message,
                 configuration_message, configuration_request, load_message,
                 heartbeat_message, flow_query_message, flow_reply_message,
                 placement_policy_message>;

// A control message with its sender. Every message type is idempotent:
// receiving it twice has the same effect as receiving it once.
struct control_message
{
    member_id from = 0;
    incarnation_number from_incarnation = 0;
    control_body body;

    auto operator==(const control_message&) const -> bool = default;
};

} // namespace briardrum

#endif
