#ifndef BRIARDRUM_REQUESTS_ENGINE_REQUEST_ENGINE_HPP
#define BRIARDRUM_REQUESTS_ENGINE_REQUEST_ENGINE_HPP

#include "config/config.hpp"
#include "core/core.hpp"
#include "wire/wire.hpp"

#include <functional>
#include <memory>
#include <span>
#include <vector>

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
    std::function<void(const request_id&, std::uint64_t own_token,
                       byte_view datagram)>
        dispatch;
    // Sends an answer to the caller: the server's datagram, to be given the
    // caller's own token and message id.
    std::function<void(const request_id&, byte_view answer)> answer;
    // Refuses or gives up: the error table says what the caller is told.
    std::function<void(const request_id&, error_kind, millis retry_after)>
        refuse;
    // Tells the server that nobody waits for this any more.
    std::function<void(const request_id&, std::uint64_t own_token)> cancel;
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

// All requests of one agent, from arrival until their ids may be forgotten.
//
// Call arrive() for each request, on_answer() for each answer of the server,
// tick() every few milliseconds. Each request has one state: queued, running,
// answered or refused; it goes from queued to running at most once when it is
// not repeatable, and never leaves answered or refused until it is forgotten
// after EXCHANGE_LIFETIME. A refusal that says "not run" is only given to a
// request that never was running.
class request_engine
{
public:
    request_engine(request_hooks hooks, std::uint64_t seed,
                   request_bounds bounds = {});
    ~request_engine();
    request_engine(const request_engine&) = delete;
    auto operator=(const request_engine&) -> request_engine& = delete;

    auto set_policy(const service_policy& policy) -> void;

    // How many requests the server says it runs at once.
    auto set_slots(std::uint32_t slots) -> void;

    auto arrive(millis now, const request_arrival& arrival) -> arrival_result;

    // False when no running request has this token: the answer is dropped.
    auto on_answer(millis now, std::uint64_t own_token, byte_view answer,
                   server_verdict verdict) -> bool;

    // The server refused the packet or is gone: running requests are retried
    // when repeatable, else end as outcome unknown.
    auto on_server_lost(millis now) -> void;

    // The server is there again, or answers its health endpoint. Without this
    // an engine tries a lost server with one request at a time.
    auto on_server_ready(millis now) -> void;

    // Anything at all came from the server, an empty acknowledgement included.
    auto on_server_heard(millis now) -> void;

    // The caller no longer waits.
    auto cancel(millis now, const request_id& id) -> void;

    auto tick(millis now) -> void;

    // Requests of this flow that are queued or running.
    auto in_progress(const flow_key& flow) const -> std::size_t;
    auto in_progress() const -> std::size_t;

    // Takes the flow's finished requests out, to be handed to its next owner.
    // The flow must have none in progress.
    auto take(millis now, const flow_key& flow) -> std::vector<request_record>;

    // Takes in the requests of a flow that was handed over.
    auto restore(millis now, std::span<const request_record> records) -> void;

    // How full the server is, 0 to 100 percent.
    auto saturation() const -> std::uint8_t;

    // True when the server has requests in progress and has not been heard of
    // for much longer than it usually takes, whatever its health endpoint
    // says.
    auto looks_silent(millis now) const -> bool;

    auto counters() const -> const request_counters&;

    // Requests that the server is given at once, as learnt from its answers.
    auto limit() const -> std::size_t;

    // Memory of kept answers and refusals.
    auto kept_bytes() const -> std::size_t;
    auto kept_count() const -> std::size_t;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace briardrum

#endif
