#ifndef BRIARDRUM_STAND_INS_CALLER_CALLER_HPP
#define BRIARDRUM_STAND_INS_CALLER_CALLER_HPP

#include "stand_ins/caller/caller_flow.hpp"

#include <memory>
#include <vector>

namespace briardrum
{

// All sessions of one caller process, on one libcoap context.
class caller
{
public:
    explicit caller(const caller_settings& settings);

    // Runs until every session is done or a stop is requested.
    auto run() -> void;

    auto tally() -> caller_tally&;

private:
    static auto on_answer(coap_session_t* session, const coap_pdu_t* sent,
                          const coap_pdu_t* answer, coap_mid_t id)
        -> coap_response_t;
    static auto on_failure(coap_session_t* session, const coap_pdu_t* sent,
                           coap_nack_reason_t reason, coap_mid_t id) -> void;
    auto open_flows() -> void;
    auto is_done() const -> bool;

    caller_settings settings_;
    caller_tally tally_;
    coap_context_handle context_;
    std::vector<std::unique_ptr<caller_flow>> flows_;
};

} // namespace briardrum

#endif
