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

// Option numbers that are read or written (RFC 7252, 7641, 7959, 9175).
// Deadline and urgency are private elective uint options: the time left for a
// request in milliseconds, and its urgency (0 urgent, 1 normal, 2 bulk).
constexpr std::uint16_t coap_option_observe = 6;
constexpr std::uint16_t coap_option_uri_path = 11;
constexpr std::uint16_t coap_option_max_age = 14;
constexpr std::uint16_t coap_option_block2 = 23;
constexpr std::uint16_t coap_option_block1 = 27;
constexpr std::uint16_t coap_option_echo = 252;
constexpr std::uint16_t coap_option_request_tag = 292;
constexpr std::uint16_t coap_option_deadline = 65000;
constexpr std::uint16_t coap_option_urgency = 65004;

// Value of a Block1 or Block2 option: block number, whether more blocks follow,
// size exponent.
struct coap_block
{
    std::uint32_t number = 0;
    bool more = false;
    std::uint8_t size_exponent = 0;
};

// Parsed header, token and options of interest of a CoAP datagram. Views point
// into the datagram.
struct coap_view
{
    coap_type type = coap_type::confirmable;
    // Class (3 bits) and detail (5 bits): 0x45 is 2.05; 1 is GET, 2 is POST.
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

// Parses a datagram. Returns error_kind::malformed, wrong_version or oversize
// (larger than coap_datagram_max) if it is invalid. Never reads past the end.
auto read_coap(byte_view datagram) -> absl::StatusOr<coap_view>;

// Changes to make to a datagram before it is forwarded. Fields without a value
// leave the datagram as it is.
struct coap_edit
{
    std::optional<coap_type> type;
    std::optional<std::uint16_t> message_id;
    std::optional<byte_view> token;
    // Sets or replaces the option. An empty view removes it.
    std::optional<byte_view> echo;
    std::optional<std::uint32_t> observe;
};

// Returns the edited datagram with its options in ascending order. It may
// exceed coap_datagram_max by up to coap_edit_growth_max, so that no edit of a
// datagram that read_coap() accepts fails because of its size.
auto edit_coap(byte_view datagram, const coap_edit& edit)
    -> absl::StatusOr<byte_buffer>;

// A locally generated response: header, token, optional Max-Age and a short
// diagnostic payload. code is class * 100 + detail, 503 for 5.03.
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

// Largest datagram accepted from a caller or a backend server, in bytes.
constexpr std::size_t coap_datagram_max = 1472;

// Most bytes that an edit adds: a longer token, Echo and Observe.
constexpr std::size_t coap_edit_growth_max = 64;

} // namespace briardrum

#endif
