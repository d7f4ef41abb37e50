#ifndef BRIARDRUM_WIRE_COAP_COAP_OPTION_READER_HPP
#define BRIARDRUM_WIRE_COAP_COAP_OPTION_READER_HPP

#include "core/core.hpp"

namespace briardrum
{

// Fixed part of a CoAP datagram, before the token.
constexpr std::size_t coap_header_bytes = 4;
constexpr std::size_t coap_token_bytes_max = 8;
constexpr std::uint8_t coap_version = 1;
constexpr std::uint8_t coap_payload_marker = 0xff;

// One option as it stands in a datagram.
struct coap_option
{
    std::uint16_t number = 0;
    byte_view value;
};

// Walks the options of a datagram in order, without allocating:
//
//     coap_option_reader reader(bytes_after_the_token);
//     while (reader.next()) use(reader.option());
//
// Afterwards failed() tells a bad option from the end, and payload() is what
// follows the options.
class coap_option_reader
{
public:
    explicit coap_option_reader(byte_view bytes);

    // Moves to the next option; false at the payload, at the end and at an
    // option that cannot be read.
    auto next() -> bool;

    // The option that next() moved to.
    auto option() const -> const coap_option&;

    auto failed() const -> bool;

    // Bytes behind the payload marker, empty without one. Valid once next()
    // was false and failed() is false too.
    auto payload() const -> byte_view;

private:
    auto fail() -> bool;
    auto begin_payload() -> bool;

    byte_view rest_;
    coap_option option_;
    bool failed_ = false;
    bool at_payload_ = false;
};

} // namespace briardrum

#endif
