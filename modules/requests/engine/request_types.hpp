#ifndef BRIARDRUM_REQUESTS_ENGINE_REQUEST_TYPES_HPP
#define BRIARDRUM_REQUESTS_ENGINE_REQUEST_TYPES_HPP

#include "config/config.hpp"
#include "core/core.hpp"
#include "wire/wire.hpp"

#include <functional>

namespace briardrum
{

// A request as it reaches its owner, already checked to belong here.
struct request_arrival
{
    request_id id;
    // The caller's datagram; copied when the request is kept.
    byte_view datagram;
    bool repeatable = false;
    urgency level = urgency::normal;
    // Time the caller still waits; 0 takes the policy's default.
    millis time_left;
};

// What became of an arrival.
enum class arrival_result : std::uint8_t
{
    // Queued or running now.
    accepted,
    // The same request is queued or running already: nothing was done.
    in_progress,
    // Answered or refused before: the kept answer was sent again.
    repeated,
    // Refused now; it never runs.
    refused,
    // No room to remember even a refusal: nothing was said, and a later copy
    // may be taken.
    dropped,
};

// How the server's answer reads for the limits.
enum class server_verdict : std::uint8_t
{
    // A final answer, good or bad.
    answered,
    // The server sheds load; it did not run the request.
    overloaded,
};

// How a request ended, for counters: once for each request that was taken in
// or refused.
struct request_outcome
{
    urgency level = urgency::normal;
    // none when the server answered.
    error_kind kind = error_kind::none;
    // The caller had stopped waiting.
    bool cancelled = false;
    // From arrival at this agent.
    millis latency;
};

struct request_hooks
{
    // Sends a request to the server under our own token.
    std::function<void(const request_id&, std::uint64_t server_token,
                       byte_view datagram)>
        dispatch;
    // Sends an answer to the caller: the server's datagram, to be given the
    // caller's own token and message id.
    std::function<void(const request_id&, byte_view answer)> answer;
    // Refuses or gives up: the error table says what the caller is told.
    std::function<void(const request_id&, error_kind, millis retry_after)>
        refuse;
    // Tells the server that nobody waits for this any more.
    std::function<void(const request_id&, std::uint64_t server_token)> cancel;
    event_sink events;
    // A request ended; may be empty.
    std::function<void(const request_outcome&)> finished;
};

// Bounds of an engine's memory.
struct request_bounds
{
    // Kept answers, with room set aside for those of requests in progress.
    std::size_t answer_bytes = std::size_t{48} << 20U;
    // Refusals beside these.
    std::size_t refusal_bytes = std::size_t{16} << 20U;
    // Datagrams of waiting requests.
    std::size_t queue_bytes = std::size_t{8} << 20U;
};

// What an engine did so far, for metrics.
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
    // Answers that found no running request.
    std::uint64_t stray_answers = 0;
};

} // namespace briardrum

#endif
