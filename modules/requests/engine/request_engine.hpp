#ifndef BRIARDRUM_REQUESTS_ENGINE_REQUEST_ENGINE_HPP
#define BRIARDRUM_REQUESTS_ENGINE_REQUEST_ENGINE_HPP

#include "requests/engine/request_types.hpp"

#include <memory>
#include <span>
#include <vector>

namespace briardrum
{

struct engine_state;

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
    auto on_answer(millis now, std::uint64_t server_token, byte_view answer,
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
    auto extract(millis now, const flow_key& flow)
        -> std::vector<request_record>;

    // Takes in the requests of a flow that was handed over.
    auto restore(millis now, std::span<const request_record> records) -> void;

    // Requests that are with the server now.
    auto running() const -> std::size_t;

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
    auto stored_bytes() const -> std::size_t;
    auto stored_count() const -> std::size_t;

private:
    std::unique_ptr<engine_state> state_;
};

} // namespace briardrum

#endif
