#include "stand_ins/caller/caller_request.hpp"

#include "stand_ins/shared/answer_text.hpp"
#include "wire/wire.hpp"

#include <array>

namespace briardrum
{

namespace
{

constexpr std::size_t token_bytes_max = 8;

auto path_of(request_work work) -> std::string_view
{
    constexpr std::array<std::string_view, 5> paths = {
        "lookup", "stream", "confirm", "upload", "bill"};
    return paths.at(static_cast<std::size_t>(work));
}

auto is_post(request_work work) -> bool
{
    return work == request_work::confirm || work == request_work::upload;
}

auto body_for(const caller_settings& settings, const caller_request& request)
    -> std::string
{
    if (request.work == request_work::upload)
    {
        return make_photograph(request.key, settings.upload_bytes);
    }
    return "key=" + request.key;
}

auto add_bytes(coap_pdu_t* pdu, std::uint16_t number, std::string_view text)
    -> void
{
    const auto bytes = as_bytes(text);
    coap_add_option(pdu, number, bytes.size(), bytes.data());
}

auto add_uint(coap_pdu_t* pdu, std::uint16_t number, std::uint32_t value)
    -> void
{
    std::array<std::uint8_t, sizeof(value)> buf{};
    const auto n = coap_encode_var_safe(buf.data(), buf.size(), value);
    coap_add_option(pdu, number, n, buf.data());
}

auto add_token(coap_session_t* session, coap_pdu_t* pdu) -> byte_buffer
{
    byte_buffer token(token_bytes_max);
    auto size = token.size();
    coap_session_new_token(session, &size, token.data());
    token.resize(size);
    coap_add_token(pdu, token.size(), token.data());
    return token;
}

// Options in rising order of their numbers.
auto add_options(coap_pdu_t* pdu, const caller_settings& settings,
                 const caller_request& request) -> void
{
    if (request.work == request_work::stream)
    {
        add_uint(pdu, COAP_OPTION_OBSERVE, COAP_OBSERVE_ESTABLISH);
    }
    add_bytes(pdu, COAP_OPTION_URI_PATH, path_of(request.work));
    if (!is_post(request.work))
    {
        add_bytes(pdu, COAP_OPTION_URI_QUERY, "key=" + request.key);
    }
    if (settings.deadline_ms.has_value())
    {
        add_uint(pdu, coap_option_deadline, *settings.deadline_ms);
    }
    if (settings.urgency.has_value())
    {
        add_uint(pdu, coap_option_urgency, *settings.urgency);
    }
}

// Hands the body to libcoap, which cuts it into blocks and frees it at last.
auto add_body(coap_session_t* session, coap_pdu_t* pdu, std::string body)
    -> void
{
    auto* owned = new std::string(std::move(body));
    const auto bytes = as_bytes(*owned);
    const auto release = [](coap_session_t* /*session*/, void* text)
    {
        delete static_cast<std::string*>(text);
    };
    coap_add_data_large_request(session, pdu, bytes.size(), bytes.data(),
                                release, owned);
}

auto is_right(const caller_settings& settings, const caller_request& request,
              std::string_view text) -> bool
{
    if (!settings.service.empty() &&
        field_of(text, "service") != settings.service)
    {
        return false;
    }
    if (field_of(text, "key") != request.key)
    {
        return false;
    }
    if (request.work == request_work::bill)
    {
        return is_whole_bill(text);
    }
    return request.work != request_work::upload ||
           field_of(text, "checksum") ==
               checksum_of(body_for(settings, request));
}

} // namespace

auto send_request(coap_session_t* session, const caller_settings& settings,
                  caller_request& request) -> bool
{
    const auto code =
        is_post(request.work) ? COAP_REQUEST_CODE_POST : COAP_REQUEST_CODE_GET;
    auto* pdu = coap_new_pdu(COAP_MESSAGE_CON, code, session);
    if (pdu == nullptr)
    {
        return false;
    }
    request.token = add_token(session, pdu);
    add_options(pdu, settings, request);
    if (is_post(request.work))
    {
        add_body(session, pdu, body_for(settings, request));
    }
    return coap_send(session, pdu) != COAP_INVALID_MID;
}

auto judge_answer(const caller_settings& settings,
                  const caller_request& request, const coap_pdu_t* answer)
    -> request_outcome
{
    const auto code = coap_pdu_get_code(answer);
    switch (code)
    {
    case COAP_RESPONSE_CODE_UNAUTHORIZED:
    case COAP_RESPONSE_CODE_SERVICE_UNAVAILABLE:
        return request_outcome::refused_not_run;
    case COAP_RESPONSE_CODE_GATEWAY_TIMEOUT:
        return request_outcome::outcome_unknown;
    default:
        break;
    }
    const auto good = COAP_RESPONSE_CLASS(code) == 2 &&
                      is_right(settings, request, as_text(body_of(answer)));
    return good ? request_outcome::answered : request_outcome::wrong;
}

auto has_cookie(const coap_pdu_t* answer) -> bool
{
    coap_opt_iterator_t it{};
    return coap_check_option(answer, COAP_OPTION_ECHO, &it) != nullptr;
}

} // namespace briardrum
