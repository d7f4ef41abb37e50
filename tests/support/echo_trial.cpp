#include "tests/support/echo_trial.hpp"

#include <array>
#include <doctest/doctest.h>

namespace briardrum
{

namespace
{

// Steps after which a trial is given up; no assertion depends on their time.
constexpr int steps_max = 20000;
constexpr std::uint32_t step_ms = 1;

auto count_answer(coap_session_t* session, const coap_pdu_t* /*sent*/,
                  const coap_pdu_t* /*answer*/, coap_mid_t /*id*/)
    -> coap_response_t
{
    ++*static_cast<std::size_t*>(coap_session_get_app_data(session));
    return COAP_RESPONSE_OK;
}

} // namespace

echo_trial::echo_trial()
    : socket_(io_, {asio::ip::address_v4::loopback(), 0}),
      context_(make_coap_context())
{
    socket_.non_blocking(true);
    const auto port = socket_.local_endpoint().port();
    const auto target =
        to_coap({asio::ip::address_v4::loopback().to_uint(), port});
    session_ = coap_new_client_session(context_.get(), nullptr, &target,
                                       COAP_PROTO_UDP);
    REQUIRE(session_ != nullptr);
    coap_session_set_app_data(session_, &answers_);
    coap_register_response_handler(context_.get(), count_answer);
}

auto echo_trial::request(coap_pdu_code_t code, std::size_t body_bytes) -> void
{
    auto* pdu = coap_new_pdu(COAP_MESSAGE_CON, code, session_);
    REQUIRE(pdu != nullptr);
    std::array<std::uint8_t, coap_token_bytes_max> token{};
    auto size = token.size();
    coap_session_new_token(session_, &size, token.data());
    coap_add_token(pdu, size, token.data());
    const auto path = as_bytes("confirm");
    coap_add_option(pdu, COAP_OPTION_URI_PATH, path.size(), path.data());
    body_.assign(body_bytes, 'x');
    if (!body_.empty())
    {
        coap_add_data_large_request(session_, pdu, body_.size(), body_.data(),
                                    nullptr, nullptr);
    }
    REQUIRE(coap_send(session_, pdu) != COAP_INVALID_MID);
}

auto echo_trial::next() -> received_request
{
    byte_buffer buf(coap_datagram_max);
    for (int n = 0; n < steps_max; ++n)
    {
        asio::error_code ec;
        const auto size =
            socket_.receive_from(asio::buffer(buf), client_, 0, ec);
        if (ec)
        {
            step();
            continue;
        }
        const auto view = read_coap(byte_view(buf).first(size));
        REQUIRE(view.ok());
        // A request sent again is no further one.
        if (view->is_request() && seen_.insert(view->message_id).second)
        {
            return {view->code, view->message_id, to_buffer(view->token),
                    to_buffer(view->echo)};
        }
    }
    FAIL("the client sent no further request");
    return {};
}

auto echo_trial::answer(const received_request& request, std::uint16_t code,
                        std::string_view echo) -> void
{
    send({coap_type::acknowledgement, code, request.message_id, request.token,
          std::nullopt, ""},
         echo);
}

auto echo_trial::answer_later(const received_request& request,
                              std::uint16_t code, std::string_view echo) -> void
{
    send({coap_type::non_confirmable, code, ++message_id_, request.token,
          std::nullopt, ""},
         echo);
}

auto echo_trial::acknowledge(const received_request& request) -> void
{
    send({coap_type::acknowledgement,
          0,
          request.message_id,
          {},
          std::nullopt,
          ""},
         "");
}

auto echo_trial::send(const coap_reply& reply, std::string_view echo) -> void
{
    auto datagram = write_coap(reply);
    if (!echo.empty())
    {
        coap_edit edit;
        edit.echo = as_bytes(echo);
        datagram = edit_coap(datagram, edit).value();
    }
    socket_.send_to(asio::buffer(datagram), client_);
}

auto echo_trial::wait_for_answers(std::size_t n) -> void
{
    for (int i = 0; i < steps_max && answers_ < n; ++i)
    {
        step();
    }
    REQUIRE(answers_ >= n);
}

auto echo_trial::step() -> void
{
    coap_io_process(context_.get(), step_ms);
}

} // namespace briardrum
