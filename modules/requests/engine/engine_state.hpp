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

// What a request_engine is made of, and the steps that join its parts. A step
// that ends a request invalidates references to its row and id.
struct engine_state
{
    engine_state(request_hooks given, std::uint64_t seed,
                 request_bounds limits);

    // Admission, in admission.cpp.

    auto arrive(millis now, const request_arrival& arrival) -> arrival_result;
    // Sends again what a finished request came to; false when not finished.
    auto repeat(millis now, const request_id& id) -> bool;
    auto add(millis now, const request_arrival& arrival) -> void;
    auto check_admission(millis now, const request_arrival& arrival) const
        -> error_kind;
    // False when the newcomer itself is the one to be refused.
    auto make_room(millis now, const request_arrival& arrival) -> bool;
    auto time_left_of(const request_arrival& arrival) const -> millis;
    auto estimated_wait(urgency level, const endpoint& caller) const -> millis;
    // Spread over the same time again, so that refused callers do not come
    // back together.
    auto retry_after(urgency level, const endpoint& caller) -> millis;
    // Memory with all that requests in progress may still need.
    auto committed_bytes() const -> std::size_t;

    // Runs, in runs.cpp.

    auto dispatch(millis now) -> void;
    auto run(millis now, const request_id& id) -> void;
    auto has_capacity(millis now) const -> bool;
    auto is_silent(millis now) const -> bool;
    auto next_run_check(const active_request& row) const -> millis;
    auto requeue(const request_id& id, const active_request& row) -> void;
    // Queues a running repeatable request once more, within the budget.
    auto retry_if_allowed(millis now, const request_id& id) -> bool;
    auto on_overloaded(millis now, const request_id& id) -> void;
    auto on_answered(millis now, const request_id& id, byte_view answer)
        -> void;

    // Endings, in endings.cpp.

    // Refuses a request that is queued in the table and in no queue. What may
    // have run is never told that it did not.
    auto refuse(millis now, const request_id& id, error_kind kind) -> void;
    // Ends a running request of which no answer will come.
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
