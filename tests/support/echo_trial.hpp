#ifndef BRIARDRUM_TESTS_SUPPORT_ECHO_TRIAL_HPP
#define BRIARDRUM_TESTS_SUPPORT_ECHO_TRIAL_HPP

#include "stand_ins/shared/coap_handles.hpp"
#include "wire/coap/coap_option_reader.hpp"
#include "wire/wire.hpp"

#include <asio.hpp>
#include <set>
#include <string>
#include <string_view>

namespace briardrum
{

// A request as it came out of libcoap's client.
struct received_request
{
    std::uint8_t code = 0;
    std::uint16_t message_id = 0;
    byte_buffer token;
    byte_buffer echo;
};

// libcoap's own client session on loopback against a socket of the test,
// which answers by hand. Shows what that client does with Echo options.
class echo_trial
{
public:
    echo_trial();

    // Makes the client send a confirmable request with a body of this size;
    // one over a kilobyte goes in several blocks.
    auto request(coap_pdu_code_t code, std::size_t body_bytes = 0) -> void;

    // The next request at the socket; runs the client until one comes and
    // fails the test when none does.
    auto next() -> received_request;

    // Answers a request, piggybacked on its acknowledgement, with an Echo
    // option unless that is empty. code is class * 100 + detail.
    auto answer(const received_request& request, std::uint16_t code,
                std::string_view echo) -> void;

    // Answers a request in a message of its own, as after an empty
    // acknowledgement.
    auto answer_later(const received_request& request, std::uint16_t code,
                      std::string_view echo) -> void;

    // Acknowledges a request without an answer.
    auto acknowledge(const received_request& request) -> void;

    // Runs the client until its application was given this many answers.
    auto wait_for_answers(std::size_t n) -> void;

private:
    auto step() -> void;
    auto send(const coap_reply& reply, std::string_view echo) -> void;

    asio::io_context io_;
    asio::ip::udp::socket socket_;
    asio::ip::udp::endpoint client_;
    coap_context_handle context_;
    coap_session_t* session_ = nullptr;
    byte_buffer body_;
    std::set<std::uint16_t> seen_;
    std::size_t answers_ = 0;
    std::uint16_t message_id_ = 1;
};

} // namespace briardrum

#endif
