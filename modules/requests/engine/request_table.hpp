#ifndef BRIARDRUM_REQUESTS_ENGINE_REQUEST_TABLE_HPP
#define BRIARDRUM_REQUESTS_ENGINE_REQUEST_TABLE_HPP

#include "requests/answers/answer_store.hpp"

#include "config/config.hpp"

#include <set>
#include <unordered_map>

namespace briardrum
{

// A request in progress: queued or running.
struct active_request
{
    request_state state = request_state::queued;
    bool repeatable = false;
    // The caller no longer waits, and the server has been told.
    bool cancelled = false;
    urgency level = urgency::normal;
    // Times it entered running, and times the server said that it did not
    // run it after all.
    std::uint32_t runs = 0;
    std::uint32_t sheds = 0;
    // Names the run towards the server; 0 while queued.
    std::uint64_t server_token = 0;
    millis arrived;
    // When the run began.
    millis dispatched;
    // When the caller stops waiting.
    millis deadline;
    // When the engine has to look at it next.
    millis timer;
    byte_buffer datagram;

    // True when the server may have run it, or may be running it.
    auto may_have_run() const -> bool
    {
        return runs > sheds;
    }
};

// All requests that an agent knows, and the one place that moves them from
// state to state: queued -> running -> answered, or queued -> refused, or
// back from running to queued where the move is safe. Moves that would run
// something twice, or promise "not run" falsely, break an invariant.
class request_table
{
public:
    // The request in progress with this id, or nullptr.
    auto find(const request_id& id) -> active_request*;

    // What a finished request came to, or nullptr.
    auto finished(millis now, const request_id& id) const
        -> const stored_answer*;

    // The running request with this token, or nullptr.
    auto running(std::uint64_t server_token) const -> const request_id*;

    // Adds a request as queued. Its id must not be known.
    auto add(millis now, const request_id& id, active_request row)
        -> active_request&;

    // queued -> running, under a new token.
    auto start(millis now, const request_id& id, std::uint64_t server_token)
        -> active_request&;

    // running -> queued: the server did not run it.
    auto shed(const request_id& id) -> active_request&;

    // running -> queued: another try of a repeatable request.
    auto retry(const request_id& id) -> active_request&;

    // running -> answered: by the server.
    auto answer(millis now, const request_id& id, byte_view answer) -> void;

    // running -> answered: nobody knows the outcome.
    auto give_up(millis now, const request_id& id, error_kind kind) -> void;

    // queued -> refused. A kind that promises "not run" only when no run of
    // the request may have happened.
    auto refuse(millis now, const request_id& id, error_kind kind) -> void;

    // A request that was finished by an earlier owner of its flow.
    auto restore(millis now, stored_answer answer) -> void;

    // Takes out the finished requests of a flow with none in progress.
    auto extract(millis now, const flow_key& flow)
        -> std::vector<stored_answer>;

    auto set_timer(const request_id& id, millis when) -> void;

    // The request whose timer is due first, or nullptr when none is due.
    auto next_due(millis now) const -> const request_id*;

    // Ids of all running requests, oldest run first.
    auto running() const -> std::vector<request_id>;
    auto running_count() const -> std::size_t;

    // When the oldest run began; now when none runs.
    auto oldest_run(millis now) const -> millis;

    auto in_progress(const flow_key& flow) const -> std::size_t;
    auto in_progress() const -> std::size_t;

    // Datagrams of requests in progress.
    auto datagram_bytes() const -> std::size_t;

    auto store() -> answer_store&;
    auto store() const -> const answer_store&;

private:
    auto transition(active_request& row, request_state to) -> void;
    auto release_token(active_request& row) -> void;
    auto finish(millis now, const request_id& id, error_kind kind,
                byte_view answer) -> void;
    auto require(const request_id& id) -> active_request&;

    table<request_id, active_request> active_;
    // By own token; tokens only grow, so the oldest run comes first.
    std::map<std::uint64_t, request_id> tokens_;
    std::unordered_map<flow_key, std::size_t> per_flow_;
    std::set<std::pair<millis, request_id>> timers_;
    std::size_t datagram_bytes_ = 0;
    answer_store store_;
};

} // namespace briardrum

#endif
