#ifndef BRIARDRUM_STAND_INS_CALLER_CALLER_FLOW_HPP
#define BRIARDRUM_STAND_INS_CALLER_CALLER_FLOW_HPP

#include "stand_ins/caller/caller_request.hpp"

#include <optional>

namespace briardrum
{

// One libcoap client session of a caller and what it does: one request after
// another, never two at once.
//
// Call tick() every few milliseconds; on_answer() and on_failure() from
// libcoap's handlers. A request that was refused as not run is sent again
// when it is one that runs at most once, so that a refusal that was not true
// shows as a second run.
class caller_flow
{
public:
    caller_flow(coap_context_t* context, const caller_settings& settings,
                caller_tally& tally, std::size_t number, millis start_at);
    ~caller_flow();
    caller_flow(const caller_flow&) = delete;
    auto operator=(const caller_flow&) -> caller_flow& = delete;

    // Starts no request any more.
    auto stop() -> void;
    auto is_done() const -> bool;

    auto tick(millis now) -> void;
    auto on_answer(millis now, const coap_pdu_t* answer) -> void;

    // The request was reset or given up by libcoap.
    auto on_failure(millis now) -> void;

private:
    auto open() -> void;
    auto close() -> void;
    auto next_request() const -> caller_request;
    auto send(millis now) -> void;
    auto finish(millis now, request_outcome outcome) -> void;
    auto finish_work(request_outcome outcome) -> void;
    auto note_flow(request_outcome outcome) -> void;
    auto on_notification(millis now) -> void;
    auto needs_cookie() const -> bool;

    coap_context_t* context_;
    const caller_settings& settings_;
    caller_tally& tally_;
    std::size_t number_;
    coap_session_t* session_ = nullptr;
    std::optional<caller_request> waiting_;
    millis sent_at_;
    millis next_at_;
    std::uint64_t done_ = 0;
    std::uint64_t notifications_ = 0;
    std::uint32_t refusals_ = 0;
    bool has_cookie_ = false;
    bool established_ = false;
    bool broken_ = false;
    bool reopen_ = false;
    bool stopping_ = false;
};

} // namespace briardrum

#endif
