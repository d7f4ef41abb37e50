#ifndef BRIARDRUM_WIRE_COAP_COAP_VIEW_HPP
#define BRIARDRUM_WIRE_COAP_COAP_VIEW_HPP

#include "core/core.hpp"

#include <absl/status/statusor.h>
#include <optional>
#include <span>

namespace briardrum
{

enum class coap_type : std::uint8_t
{
    confirmable = 0,
    non_confirmable = 1,
    acknowledgement = 2,
    reset = 3,
};

// Option numbers that we read or write (RFC 7252, 7641, 7959, 9175). The two
// private ones are elective and carry a request's deadline (milliseconds
// still to go) and urgency (0 urgent, 1 normal, 2 bulk) as uint options.
constexpr std::uint16_t coap_option_observe = 6;
constexpr std::uint16_t coap_option_uri_path = 11;
constexpr std::uint16_t coap_option_max_age = 14;
constexpr std::uint16_t coap_option_block2 = 23;
constexpr std::uint16_t coap_option_block1 = 27;
constexpr std::uint16_t coap_option_echo = 252;
constexpr std::uint16_t coap_option_request_tag = 292;
constexpr std::uint16_t coap_option_deadline = 65000;
constexpr std::uint16_t coap_option_urgency = 65004;

// A block option: number, whether more follow, size exponent.
struct coap_block
{
    std::uint32_t number = 0;
    bool more = false;
    std::uint8_t size_exponent = 0;
};

// What we read of a CoAP datagram. Views point into the datagram.
struct coap_view
{
    coap_type type = coap_type::confirmable;
    // Class and detail as one byte: 0x45 is 2.05; 1 is GET, 2 is POST.
    std::uint8_t code = 0;
    std::uint16_t message_id = 0;
    byte_view token;
    byte_view echo;
    byte_view request_tag;
    byte_view payload;
    std::optional<std::uint32_t> observe;
    std::optional<coap_block> block1;
    std::optional<coap_block> block2;
    std::optional<std::uint32_t> deadline_ms;
    std::optional<std::uint32_t> urgency;
    std::optional<std::uint32_t> max_age_s;

    auto is_request() const -> bool
    {
        return code >= 1 && code < 32;
    }

    auto is_empty() const -> bool
    {
        return code == 0;
    }

    auto is_response() const -> bool
    {
        return code >= 64;
    }
};

// Reads a datagram; error_kind::malformed, wrong_version or
// oversize (over coap_datagram_max) otherwise. Never reads past the end.
auto read_coap(byte_view datagram) -> absl::StatusOr<coap_view>;

// How a datagram is changed on its way. Everything not named stays as it is.
struct coap_edit
{
    std::optional<coap_type> type;
    std::optional<std::uint16_t> message_id;
    std::optional<byte_view> token;
    // Set or replaced; an empty view removes the option.
    std::optional<byte_view> echo;
    std::optional<std::uint32_t> observe;
};

// The datagram with the edit made, options in order. It may be larger than
// coap_datagram_max by coap_edit_growth_max: the edit of a datagram that
// read_coap() accepts does not fail for its size.
auto edit_coap(byte_view datagram, const coap_edit& edit)
    -> absl::StatusOr<byte_buffer>;

// A small answer of our own: header, token, optional Max-Age and a short
// diagnostic text. code is class * 100 + detail, 503 for 5.03.
struct coap_reply
{
    coap_type type = coap_type::acknowledgement;
    std::uint16_t code = 0;
    std::uint16_t message_id = 0;
    byte_view token;
    std::optional<std::uint32_t> max_age_s;
    std::string_view text;
};

auto write_coap(const coap_reply& reply) -> byte_buffer;

// Largest datagram that we take from a caller or a server.
constexpr std::size_t coap_datagram_max = 1472;

// Room for what an edit may add: a longer token, Echo and Observe.
constexpr std::size_t coap_edit_growth_max = 64;

} // namespace briardrum

#endif
