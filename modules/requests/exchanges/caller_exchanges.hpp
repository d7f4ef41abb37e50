#ifndef BRIARDRUM_REQUESTS_EXCHANGES_CALLER_EXCHANGES_HPP
#define BRIARDRUM_REQUESTS_EXCHANGES_CALLER_EXCHANGES_HPP

#include "core/core.hpp"
#include "wire/wire.hpp"

#include <functional>
#include <optional>

namespace briardrum
{

// Names a message that we sent to a caller.
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

// What an answer carries besides what the server said.
struct answer_extras
{
    // Cookie for the flow's next requests; empty for none.
    byte_view cookie;
    // Our own Observe sequence, in place of the server's.
    std::optional<std::uint32_t> observe;
};

// The CoAP message layer towards callers: which answers ride on an
// acknowledgement, which go on their own and are retransmitted, and when a
// caller is told that its request has arrived.
//
// Call begin() when a request arrives, then answer() or reply() once for it;
// notify() for each further notification of an Observe registration; on_ack()
// and on_reset() for the caller's; tick() every 10 ms.
class caller_exchanges
{
public:
    // RFC 7252, section 4.8, with the default ACK_RANDOM_FACTOR's mean.
    static constexpr millis ack_timeout = milliseconds(2500);
    static constexpr int retransmit_max = 4;
    // A request that runs longer than this is acknowledged at once, before
    // its caller retransmits.
    static constexpr millis ack_delay = milliseconds(1000);

    // What a caller's acknowledgement or reset was for.
    struct match
    {
        request_id id;
        bool is_notification = false;
    };

    using send_hook =
        std::function<void(const flow_key& flow, byte_view datagram)>;
    // A separate answer or notification was never acknowledged.
    using delivery_failed_hook = std::function<void(const match&)>;

    caller_exchanges(send_hook send, delivery_failed_hook delivery_failed);

    // True between begin() and the answer.
    auto is_open(const request_id& id) const -> bool;

    // The open request that came under this message id.
    auto find_open(const flow_key& flow, std::uint16_t message_id) const
        -> std::optional<request_id>;

    // A request arrived; type is that of the caller's datagram.
    auto begin(millis now, const request_id& id, coap_type type) -> void;

    // The same request arrived again while it runs: acknowledged again when
    // it was acknowledged before.
    auto repeat(const request_id& id) -> void;

    // Sends the server's answer under the caller's token.
    auto answer(millis now, const request_id& id, byte_view server_answer,
                const answer_extras& extras) -> void;

    // Sends a small answer of our own; code is class * 100 + detail.
    auto reply(millis now, const request_id& id, std::uint16_t code,
               std::optional<std::uint32_t> max_age_s, std::string_view text)
        -> void;

    // Forgets a request without an answer.
    auto forget(const request_id& id) -> void;

    // Sends a notification. While an earlier one of the same registration is
    // unacknowledged the newer takes its place, with the tries it has left, so
    // that a caller that is gone is noticed however often the server speaks.
    auto notify(millis now, const request_id& id, byte_view server_answer,
                const answer_extras& extras, bool confirmable) -> void;

    auto on_ack(const flow_key& flow, std::uint16_t message_id)
        -> std::optional<match>;

    auto on_reset(const flow_key& flow, std::uint16_t message_id)
        -> std::optional<match>;

    auto tick(millis now) -> void;

    // Nothing of this flow waits for an acknowledgement or an answer.
    auto is_idle(const flow_key& flow) const -> bool;

    // Forgets everything of a flow.
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
        byte_buffer datagram;
        // When it is sent again, or forgotten when no sends are left.
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
    // The registration's earlier notification, taken out of the table.
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
    table<flow_key, std::size_t> per_flow_;
    // The newest notification of each registration.
    table<request_id, std::uint16_t> latest_notification_;
};

} // namespace briardrum

#endif
