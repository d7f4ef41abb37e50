#ifndef BRIARDRUM_STAND_INS_CALLER_CALLER_REQUEST_HPP
#define BRIARDRUM_STAND_INS_CALLER_CALLER_REQUEST_HPP

#include "stand_ins/caller/caller_settings.hpp"
#include "stand_ins/caller/caller_tally.hpp"
#include "stand_ins/shared/coap_handles.hpp"

#include <string>

namespace briardrum
{

// What a request asks the backend server for.
enum class request_work : std::uint8_t
{
    lookup,
    stream,
    confirm,
    upload,
    bill,
};

// One request of a session.
struct caller_request
{
    request_work work = request_work::lookup;
    std::string key;
    byte_buffer token;
};

// Sends it on the session, confirmable, with a new token that is noted in the
// request; false when libcoap did not take it.
auto send_request(coap_session_t* session, const caller_settings& settings,
                  caller_request& request) -> bool;

// What an answer with the request's token means.
auto judge_answer(const caller_settings& settings,
                  const caller_request& request, const coap_pdu_t* answer)
    -> request_outcome;

// True when the answer carries an Echo option, which libcoap puts on the next
// request by itself.
auto has_cookie(const coap_pdu_t* answer) -> bool;

} // namespace briardrum

#endif
