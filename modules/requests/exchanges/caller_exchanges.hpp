#ifndef BRIARDRUM_REQUESTS_EXCHANGES_CALLER_EXCHANGES_HPP
#define BRIARDRUM_REQUESTS_EXCHANGES_CALLER_EXCHANGES_HPP

#include "core/core.hpp"
#include "wire/wire.hpp"

#include <functional>
#include <optional>

namespace briardrum
{

// Identifies a message that the agent sent to a caller.
struct sent_message
{
    flow_key flow;
    std::uint16_t message_id = 0;

    // clang-tidy 14 takes the rewritten comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const sent_message&) const = default;
};

} // namespace briardrum

template <>
struct std::hash<briardrum::sent_message>
{
    auto operator()(const briardrum::sent_message& key) const noexcept
        -> std::size_t
    {
        return std::hash<briardrum::flow_key>{}(key.flow) ^
               (std::uint64_t{key.message_id} * 0x9e3779b97f4a7c15U);
    }
};

namespace briardrum
{

// Options that the agent adds to a server's answer.
struct answer_extras
{
    // Cookie for the flow's next requests; empty for none.
    byte_view cookie;
    // The agent's own Observe sequence number, which replaces the server's.
    std::optional<std::uint32_t> observe;
};

// The CoAP message layer towards callers: decides which answers are piggybacked
// on an acknowledgement and which are sent separately, retransmits separate
// answers, and acknowledges requests that take long.
//
// Call begin() when a request arrives, then answer() or reply() once for it;
// notify() for each further notification of an Observe registration; on_ack()
// and on_reset() for acknowledgements and resets from the caller; tick() every
// 10 ms.
class caller_exchanges
{
public:
    // ACK_TIMEOUT of RFC 7252, section 4.8, times the mean of the default
    // ACK_RANDOM_FACTOR.
    static constexpr millis ack_timeout = milliseconds(2500);
    static constexpr int retransmit_max = 4;
    // A request that runs longer than this gets an empty acknowledgement,
    // before its caller retransmits.
    static constexpr millis ack_delay = milliseconds(1000);

    // The message that a caller's acknowledgement or reset refers to.
    struct match
    {
        request_id id;
        bool is_notification = false;
    };

    using send_hook =
        std::function<void(const flow_key& flow, byte_view datagram)>;
    // Called when a confirmable answer or notification was never acknowledged.
    using delivery_failed_hook = std::function<void(const match&)>;

    caller_exchanges(send_hook send, delivery_failed_hook delivery_failed);

    // True between begin() and the answer.
    auto is_open(const request_id& id) const -> bool;

    // Returns the open request that arrived with this message id.
    auto find_open(const flow_key& flow, std::uint16_t message_id) const
        -> std::optional<request_id>;

    // Records the arrival of a request. type is that of the caller's datagram.
    auto begin(millis now, const request_id& id, coap_type type) -> void;

    // Handles a copy of a request that is still open: if the request was
    // acknowledged, the acknowledgement is sent again.
    auto repeat(const request_id& id) -> void;

    // Sends the server's answer with the caller's token.
    auto answer(millis now, const request_id& id, byte_view server_answer,
                const answer_extras& extras) -> void;

    // Sends an answer that the agent itself makes. code is class * 100 +
    // detail.
    auto reply(millis now, const request_id& id, std::uint16_t code,
               std::optional<std::uint32_t> max_age_s, std::string_view text)
        -> void;

    // Removes a request without sending an answer.
    auto forget(const request_id& id) -> void;

    // Sends a notification. If the registration's previous notification was
    // confirmable and is unacknowledged, the new one replaces it, is
    // confirmable too and takes over its retransmission state. If each
    // notification restarted the retransmissions, frequent ones would prevent a
    // caller that is gone from being detected.
    auto notify(millis now, const request_id& id, byte_view server_answer,
                const answer_extras& extras, bool confirmable) -> void;

    auto on_ack(const flow_key& flow, std::uint16_t message_id)
        -> std::optional<match>;

    auto on_reset(const flow_key& flow, std::uint16_t message_id)
        -> std::optional<match>;

    auto tick(millis now) -> void;

    // True if the flow has no open request and no unacknowledged separate
    // answer. Unacknowledged notifications do not count.
    auto is_idle(const flow_key& flow) const -> bool;

    // Removes all state of a flow.
    auto erase_flow(const flow_key& flow) -> void;

private:
    struct open_exchange
    {
        coap_type type = coap_type::confirmable;
        bool acknowledged = false;
        millis arrived;
    };

    struct tracked_message
    {
        match subject;
        // Empty for a non-confirmable message, which is not retransmitted.
        byte_buffer datagram;
        // When it is retransmitted, or removed if no retransmissions are left.
        millis due;
        millis interval;
        int sends_left = 0;
    };

    auto send_empty_ack(const request_id& id) -> void;
    auto close(const request_id& id) -> std::optional<open_exchange>;
    auto send_tracked(millis now, const match& subject, coap_type type,
                      std::uint16_t message_id, byte_buffer datagram)
        -> tracked_message*;
    auto next_message_id(const flow_key& flow) -> std::uint16_t;
    // Removes and returns the registration's previous notification.
    auto take_previous_notification(const request_id& id)
        -> std::optional<tracked_message>;
    auto adjust_count(const flow_key& flow, int change) -> void;
    auto remove_sent(const flow_key& flow, std::uint16_t message_id)
        -> std::optional<match>;

    send_hook send_;
    delivery_failed_hook delivery_failed_;
    std::uint16_t next_message_id_ = 1;
    table<request_id, open_exchange> open_;
    table<sent_message, tracked_message> sent_;
    // Number of open requests and unacknowledged separate answers.
    table<flow_key, std::size_t> per_flow_;
    // Message id of the latest notification of each registration.
    table<request_id, std::uint16_t> latest_notification_;
};

} // namespace briardrum

#endif
