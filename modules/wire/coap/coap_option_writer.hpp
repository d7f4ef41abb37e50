#ifndef BRIARDRUM_WIRE_COAP_COAP_OPTION_WRITER_HPP
#define BRIARDRUM_WIRE_COAP_COAP_OPTION_WRITER_HPP

#include "core/core.hpp"

namespace briardrum
{

// Appends CoAP options to a buffer. Options must be appended in ascending order
// of their numbers.
class coap_option_writer
{
public:
    explicit coap_option_writer(byte_buffer& out);

    auto append(std::uint16_t number, byte_view value) -> void;

    // Appends a uint option in its shortest encoding.
    auto append(std::uint16_t number, std::uint32_t value) -> void;

    // Appends the payload marker and the payload. Appends nothing for an empty
    // payload.
    auto append_payload(byte_view payload) -> void;

private:
    byte_buffer& out_;
    std::uint16_t last_number_ = 0;
};

} // namespace briardrum

#endif
