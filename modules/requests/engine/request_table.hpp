#ifndef BRIARDRUM_REQUESTS_ENGINE_REQUEST_TABLE_HPP
#define BRIARDRUM_REQUESTS_ENGINE_REQUEST_TABLE_HPP

#include "requests/answers/answer_store.hpp"

#include "config/config.hpp"

#include <set>
#include <unordered_map>

namespace briardrum
{

// A request in progress, that is, queued or running.
struct active_request
{
    request_state state = request_state::queued;
    bool repeatable = false;
    // The caller no longer waits. If the request was running, the server has
    // been told.
    bool cancelled = false;
    urgency level = urgency::normal;
    // How often it was dispatched, and how often the server reported that it
    // did not run it.
    std::uint32_t runs = 0;
    std::uint32_t sheds = 0;
    // Token under which it was sent to the server; 0 while queued.
    std::uint64_t server_token = 0;
    millis arrived;
    // When it was last dispatched.
    millis dispatched;
    // When the caller stops waiting for an answer.
    millis deadline;
    // When the engine has to check it next.
    millis timer;
    byte_buffer datagram;

    // True if the server may have run it or may be running it.
    auto may_have_run() const -> bool
    {
        return runs > sheds;
    }
};

// Holds all requests of an agent and performs every state transition: queued ->
// running -> answered, queued -> refused, and running -> queued where that is
// safe. A transition that would run a request twice, or wrongly report "not
// run", violates an invariant.
class request_table
{
public:
    // Returns the request in progress with this id, or nullptr.
    auto find(const request_id& id) -> active_request*;

    // Returns the result of a finished request, or nullptr.
    auto finished(millis now, const request_id& id) const
        -> const stored_answer*;

    // Returns the id of the running request with this token, or nullptr.
    auto running(std::uint64_t server_token) const -> const request_id*;

    // Adds a request as queued. Its id must be unknown.
    auto add(millis now, const request_id& id, active_request row)
        -> active_request&;

    // queued -> running, with a new token.
    auto start(millis now, const request_id& id, std::uint64_t server_token)
        -> active_request&;

    // running -> queued: the server did not run it.
    auto shed(const request_id& id) -> active_request&;

    // running -> queued: a retry of a repeatable request.
    auto retry(const request_id& id) -> active_request&;

    // running -> answered: the server answered.
    auto answer(millis now, const request_id& id, byte_view answer) -> void;

    // running -> answered: the outcome is unknown.
    auto give_up(millis now, const request_id& id, error_kind kind) -> void;

    // queued -> refused. The kind may say "not run" only if the server cannot
    // have run the request.
    auto refuse(millis now, const request_id& id, error_kind kind) -> void;

    // Adds a request that an earlier owner of its flow finished. Does nothing
    // if the id is known.
    auto restore(millis now, stored_answer answer) -> void;

    // Removes and returns the finished requests of a flow. The flow must have
    // no request in progress.
    auto extract(millis now, const flow_key& flow)
        -> std::vector<stored_answer>;

    auto set_timer(const request_id& id, millis when) -> void;

    // Returns the request with the earliest expired timer, or nullptr if no
    // timer has expired.
    auto next_due(millis now) const -> const request_id*;

    // Ids of all running requests, oldest dispatch first.
    auto running() const -> std::vector<request_id>;
    auto running_count() const -> std::size_t;

    // When the oldest running request was dispatched, or now if none is
    // running.
    auto oldest_run(millis now) const -> millis;

    auto in_progress(const flow_key& flow) const -> std::size_t;
    auto in_progress() const -> std::size_t;

    // Total size in bytes of the datagrams of requests in progress.
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
    // By server token. Tokens increase, so the oldest run comes first.
    std::map<std::uint64_t, request_id> tokens_;
    // Number of requests in progress.
    std::unordered_map<flow_key, std::size_t> per_flow_;
    std::set<std::pair<millis, request_id>> timers_;
    std::size_t datagram_bytes_ = 0;
    answer_store store_;
};

} // namespace briardrum

#endif
