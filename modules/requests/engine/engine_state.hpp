#ifndef BRIARDRUM_REQUESTS_ENGINE_ENGINE_STATE_HPP
#define BRIARDRUM_REQUESTS_ENGINE_ENGINE_STATE_HPP

#include "requests/engine/request_table.hpp"
#include "requests/engine/request_types.hpp"
#include "requests/limits/concurrency_limit.hpp"
#include "requests/limits/retry_budget.hpp"
#include "requests/limits/server_health.hpp"
#include "requests/limits/urgency_queue.hpp"

namespace briardrum
{

// Implementation of request_engine: its parts and the steps that connect them.
// A step that ends a request invalidates references to its row and id.
struct engine_state
{
    engine_state(request_hooks initial_hooks, std::uint64_t seed,
                 request_bounds memory_bounds);

    // Admission, implemented in admission.cpp.

    auto arrive(millis now, const request_arrival& arrival) -> arrival_result;
    // Sends the stored result of a finished request again. Returns false if the
    // request is not finished.
    auto repeat(millis now, const request_id& id) -> bool;
    auto add(millis now, const request_arrival& arrival) -> void;
    auto check_admission(millis now, const request_arrival& arrival) const
        -> error_kind;
    // Evicts a queued request if the queue is full. Returns false if the new
    // request has to be refused instead.
    auto make_room(millis now, const request_arrival& arrival) -> bool;
    auto time_left_of(const request_arrival& arrival) const -> millis;
    auto estimated_wait(urgency level, const endpoint& caller) const -> millis;
    // Adds a jitter of up to the base time, so that refused callers do not all
    // retry at once.
    auto retry_after(urgency level, const endpoint& caller) -> millis;
    // Memory in bytes that the stored answers take, plus what the answers of
    // the requests in progress may need.
    auto committed_bytes() const -> std::size_t;

    // Dispatching, implemented in runs.cpp.

    auto dispatch(millis now) -> void;
    auto run(millis now, const request_id& id) -> void;
    auto has_capacity(millis now) const -> bool;
    auto is_silent(millis now) const -> bool;
    auto next_run_check(const active_request& row) const -> millis;
    auto requeue(const request_id& id, const active_request& row) -> void;
    // Queues a running repeatable request again. Returns false if it was
    // cancelled, has been dispatched more than once or is past its deadline, or
    // if the retry budget is exhausted.
    auto retry_if_allowed(millis now, const request_id& id) -> bool;
    auto on_overloaded(millis now, const request_id& id) -> void;
    auto on_answered(millis now, const request_id& id, byte_view answer)
        -> void;

    // Completion, implemented in endings.cpp.

    // Refuses a request that the table holds as queued but that is not in the
    // queue, either because it was never pushed or because it was removed. If
    // the server may have run the request, server_silent replaces an error kind
    // that says "not run".
    auto refuse(millis now, const request_id& id, error_kind kind) -> void;
    // Ends a running request for which no answer is expected any more.
    auto give_up(millis now, const request_id& id) -> void;
    auto report(millis now, const active_request& row, error_kind kind) const
        -> void;
    auto on_timer(millis now, const request_id& id) -> void;
    auto on_queue_timer(millis now, const request_id& id) -> void;
    auto on_run_timer(millis now, const request_id& id) -> void;
    auto cancel(millis now, const request_id& id) -> void;

    request_hooks hooks;
    random_source random;
    request_bounds bounds;
    service_policy policy;
    request_table requests;
    urgency_queue queue;
    concurrency_limit limit;
    retry_budget budget;
    server_health health;
    request_counters counters;
    std::uint64_t next_token = 1;
};

} // namespace briardrum

#endif
