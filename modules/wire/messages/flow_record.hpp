#ifndef BRIARDRUM_WIRE_MESSAGES_FLOW_RECORD_HPP
#define BRIARDRUM_WIRE_MESSAGES_FLOW_RECORD_HPP

#include "core/core.hpp"

#include <vector>

namespace briardrum
{

// Identifies one request of a caller by its flow, token, message id and a hash
// of its Request-Tag (0 if it has none).
struct request_id
{
    flow_key flow;
    // Token of up to eight bytes, and its length in bytes.
    std::uint64_t token = 0;
    std::uint8_t token_length = 0;
    std::uint16_t message_id = 0;
    std::uint32_t request_tag = 0;

    // clang-tidy 14 mistakes rewritten comparisons for a comparison with a null
    // pointer.
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

// A request that moves with its flow to another owner. Only requests that were
// answered or refused, or whose outcome is unknown, are transferred.
struct request_record
{
    request_id id;
    request_state state = request_state::answered;
    // The complete answer datagram; empty if the outcome is unknown.
    byte_buffer answer;
    // Remaining time until the record may be discarded.
    millis remaining;

    auto operator==(const request_record&) const -> bool = default;
};

// An Observe registration. The request is resent unchanged to the new owner's
// server.
struct observe_record
{
    request_id id;
    byte_buffer request;
    std::uint32_t sequence = 0;

    auto operator==(const observe_record&) const -> bool = default;
};

// A former owner of a flow. Agents that received the flow from it, directly or
// indirectly, accept cookies that name it.
struct flow_owner
{
    member_id id = 0;
    incarnation_number incarnation = 0;
    flow_generation generation = 0;

    auto operator==(const flow_owner&) const -> bool = default;
};

// Complete state of a flow, as handed over to the next owner.
struct flow_record
{
    flow_key key;
    // The generation under which the receiver will own the flow.
    flow_generation generation = 0;
    // Former owners whose cookies are still accepted, oldest first.
    std::vector<flow_owner> owners;
    std::vector<request_record> requests;
    std::vector<observe_record> observes;
    // True if a receiver that died before its acknowledgement may have run
    // requests of this flow. Cookies of former owners then no longer admit a
    // request.
    bool may_have_run = false;
    // The balancer that last forwarded a datagram of the flow.
    member_id balancer = 0;

    auto operator==(const flow_record&) const -> bool = default;
};

// A flow whose owner is not its home.
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
