#ifndef BRIARDRUM_WIRE_COAP_COAP_OPTION_READER_HPP
#define BRIARDRUM_WIRE_COAP_COAP_OPTION_READER_HPP

#include "core/core.hpp"

namespace briardrum
{

// Length of the fixed header of a CoAP datagram, before the token.
constexpr std::size_t coap_header_bytes = 4;
constexpr std::size_t coap_token_bytes_max = 8;
constexpr std::uint8_t coap_version = 1;
constexpr std::uint8_t coap_payload_marker = 0xff;

// One option of a datagram. The value is a view into the datagram.
struct coap_option
{
    std::uint16_t number = 0;
    byte_view value;
};

// Iterates over the options of a datagram in order, without allocating:
//
//     coap_option_reader reader(bytes_after_the_token);
//     while (reader.next()) use(reader.option());
//
// Afterwards failed() is true if an option was malformed, and payload() returns
// the bytes after the options.
class coap_option_reader
{
public:
    explicit coap_option_reader(byte_view bytes);

    // Advances to the next option. Returns false at the payload, at the end and
    // at a malformed option.
    auto next() -> bool;

    // Returns the option that next() advanced to.
    auto option() const -> const coap_option&;

    auto failed() const -> bool;

    // Returns the bytes after the payload marker, or an empty view without a
    // marker. Valid once next() has returned false and failed() is false.
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
