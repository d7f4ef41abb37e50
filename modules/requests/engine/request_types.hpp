#ifndef BRIARDRUM_REQUESTS_ENGINE_REQUEST_TYPES_HPP
#define BRIARDRUM_REQUESTS_ENGINE_REQUEST_TYPES_HPP

#include "config/config.hpp"
#include "core/core.hpp"
#include "wire/wire.hpp"

#include <functional>

namespace briardrum
{

// A request that has reached the owner of its flow and has passed the ownership
// check.
struct request_arrival
{
    request_id id;
    // The caller's datagram. The engine copies it if it stores the request.
    byte_view datagram;
    bool repeatable = false;
    urgency level = urgency::normal;
    // How long the caller will wait; 0 selects the policy's default.
    millis time_left;
};

// Result of request_engine::arrive().
enum class arrival_result : std::uint8_t
{
    // The request is queued or running now.
    accepted,
    // The same request is already queued or running; nothing was done.
    in_progress,
    // The request was finished before; its stored result was sent again.
    repeated,
    // The request was refused and will never run.
    refused,
    // There is no memory even to store a refusal. The caller was told nothing,
    // and a later copy may be accepted.
    dropped,
};

// Whether the server ran a request, according to its answer.
enum class server_verdict : std::uint8_t
{
    // A final answer, success or error.
    answered,
    // The server shed load and did not run the request.
    overloaded,
};

// How a request ended, for metrics. Reported once for each request that was
// accepted or refused.
struct request_outcome
{
    urgency level = urgency::normal;
    // none if the server answered.
    error_kind kind = error_kind::none;
    // The caller had stopped waiting.
    bool cancelled = false;
    // Time since arrival at this agent.
    millis latency;
};

struct request_hooks
{
    // Sends a request to the server with the given server token.
    std::function<void(const request_id&, std::uint64_t server_token,
                       byte_view datagram)>
        dispatch;
    // Sends the server's datagram to the caller. The hook replaces the token
    // and message id by the caller's own.
    std::function<void(const request_id&, byte_view answer)> answer;
    // Reports a refusal or an unknown outcome. error_mapping_for() gives the
    // response for each kind.
    std::function<void(const request_id&, error_kind, millis retry_after)>
        refuse;
    // Tells the server that the caller no longer waits for the answer.
    std::function<void(const request_id&, std::uint64_t server_token)> cancel;
    event_sink events;
    // Called when a request ends; may be empty.
    std::function<void(const request_outcome&)> finished;
};

// Memory bounds of an engine, in bytes.
struct request_bounds
{
    // Stored answers, including space reserved for requests in progress.
    std::size_t answer_bytes = std::size_t{48} << 20U;
    // Additional space that only stored refusals may use.
    std::size_t refusal_bytes = std::size_t{16} << 20U;
    // Datagrams of all requests in progress, both queued and running.
    std::size_t queue_bytes = std::size_t{8} << 20U;
};

// Event counts since the engine was created, for metrics.
struct request_counters
{
    std::uint64_t arrived = 0;
    std::uint64_t dispatched = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t outcome_unknown = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t dropped = 0;
    std::uint64_t repeated = 0;
    std::uint64_t retried = 0;
    // Answers that matched no running request.
    std::uint64_t stray_answers = 0;
};

} // namespace briardrum

#endif
