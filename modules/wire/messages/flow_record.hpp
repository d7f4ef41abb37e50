#ifndef BRIARDRUM_WIRE_MESSAGES_FLOW_RECORD_HPP
#define BRIARDRUM_WIRE_MESSAGES_FLOW_RECORD_HPP

#include "core/core.hpp"

#include <vector>

namespace briardrum
{

// Names one request of a caller: its flow, token, message id and a hash of
// its Request-Tag (0 when it carries none).
struct request_id
{
    flow_key flow;
    // Up to eight bytes of token, then its length.
    std::uint64_t token = 0;
    std::uint8_t token_length = 0;
    std::uint16_t message_id = 0;
    std::uint32_t request_tag = 0;

    // clang-tidy 14 takes the rewritten comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const request_id&) const = default;
};

auto to_string(const request_id& id) -> std::string;

enum class request_state : std::uint8_t
{
    queued = 0,
    running = 1,
    answered = 2,
    refused = 3,
};

auto to_string(request_state state) -> std::string_view;

// A request as it moves with its flow to another owner: only ids that are
// answered or refused, or whose outcome nobody knows any more.
struct request_record
{
    request_id id;
    request_state state = request_state::answered;
    // The whole answer datagram; empty when the outcome is unknown.
    byte_buffer answer;
    // When the id may be forgotten, as time still to go.
    millis remaining;

    auto operator==(const request_record&) const -> bool = default;
};

// An Observe registration: re-sent to the new owner's server as it was.
struct observe_record
{
    request_id id;
    byte_buffer request;
    std::uint32_t sequence = 0;

    auto operator==(const observe_record&) const -> bool = default;
};

// One owner that a flow had: a cookie that names it is honoured by those who
// received the flow from it, directly or not.
struct flow_owner
{
    member_id id = 0;
    incarnation_number incarnation = 0;
    flow_generation generation = 0;

    auto operator==(const flow_owner&) const -> bool = default;
};

// All that a flow's owner holds, as handed to the next owner.
struct flow_record
{
    flow_key key;
    // The generation that the receiver is to own.
    flow_generation generation = 0;
    // Every earlier owner whose cookies are still honoured, oldest first.
    std::vector<flow_owner> owners;
    std::vector<request_record> requests;
    std::vector<observe_record> observes;
    // True when a receiver that died unacknowledged may have run work of this
    // flow: cookies of earlier owners no longer admit a request.
    bool may_have_run = false;
    // The balancer that forwarded last.
    member_id balancer = 0;

    auto operator==(const flow_record&) const -> bool = default;
};

// A flow that lives at another owner than its home.
struct redirect_record
{
    flow_key key;
    member_id owner = 0;
    incarnation_number owner_incarnation = 0;
    flow_generation generation = 0;

    auto operator==(const redirect_record&) const -> bool = default;
};

} // namespace briardrum

template <>
struct std::hash<briardrum::request_id>
{
    auto operator()(const briardrum::request_id& id) const noexcept
        -> std::size_t
    {
        const auto flow = std::hash<briardrum::flow_key>{}(id.flow);
        const auto mixed = id.token * 0x9e3779b97f4a7c15U;
        return flow ^ mixed ^ (std::uint64_t{id.message_id} << 32U) ^
               id.request_tag;
    }
};

#endif
