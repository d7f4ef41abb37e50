#ifndef BRIARDRUM_REQUESTS_ENGINE_REQUEST_ENGINE_HPP
#define BRIARDRUM_REQUESTS_ENGINE_REQUEST_ENGINE_HPP

#include "requests/engine/request_types.hpp"

#include <memory>
#include <span>
#include <vector>

namespace briardrum
{

struct engine_state;

// Handles all requests of one agent, from arrival until their ids expire.
//
// Call arrive() for each request, on_answer() for each answer of the server,
// and tick() every few milliseconds. A request is in one state at a time:
// queued, running, answered or refused. A non-repeatable request goes from
// queued to running at most once, unless the server reports that it did not run
// it. Answered and refused are final until the request is removed after
// EXCHANGE_LIFETIME. A refusal that says "not run" is only sent for a request
// that the server has not run.
class request_engine
{
public:
    request_engine(request_hooks hooks, std::uint64_t seed,
                   request_bounds bounds = {});
    ~request_engine();
    request_engine(const request_engine&) = delete;
    auto operator=(const request_engine&) -> request_engine& = delete;

    auto set_policy(const service_policy& policy) -> void;

    // Sets how many concurrent requests the server advertises.
    auto set_slots(std::uint32_t slots) -> void;

    auto arrive(millis now, const request_arrival& arrival) -> arrival_result;

    // Returns false, and drops the answer, if no running request has this
    // token.
    auto on_answer(millis now, std::uint64_t server_token, byte_view answer,
                   server_verdict verdict) -> bool;

    // The server's port is closed or its host is unreachable. A running
    // repeatable request is retried if its deadline and the retry budget allow
    // it. All others end: with server_silent if repeatable, otherwise with
    // outcome_unknown.
    auto on_server_lost(millis now) -> void;

    // The server is back or answers its health endpoint. Without this call the
    // engine probes a lost server with one request at a time.
    auto on_server_ready(millis now) -> void;

    // Call for any datagram from the server, including an empty
    // acknowledgement.
    auto on_server_heard(millis now) -> void;

    // The caller no longer waits for an answer.
    auto cancel(millis now, const request_id& id) -> void;

    auto tick(millis now) -> void;

    // Number of requests that are queued or running, of one flow or in total.
    auto in_progress(const flow_key& flow) const -> std::size_t;
    auto in_progress() const -> std::size_t;

    // Removes and returns the flow's finished requests, to be handed over to
    // its next owner. The flow must have no request in progress.
    auto extract(millis now, const flow_key& flow)
        -> std::vector<request_record>;

    // Adds the finished requests of a flow that was handed over to this agent.
    auto restore(millis now, std::span<const request_record> records) -> void;

    // Number of requests that are running at the server.
    auto running() const -> std::size_t;

    // Load of the server in percent, 0 to 100.
    auto saturation() const -> std::uint8_t;

    // True if requests are running but the server has sent nothing for much
    // longer than its usual latency, whatever its health endpoint reports.
    auto looks_silent(millis now) const -> bool;

    auto counters() const -> const request_counters&;

    // Current concurrency limit, learnt from the server's answers.
    auto limit() const -> std::size_t;

    // Memory in bytes, and number, of stored answers and refusals.
    auto stored_bytes() const -> std::size_t;
    auto stored_count() const -> std::size_t;

private:
    std::unique_ptr<engine_state> state_;
};

} // namespace briardrum

#endif
