#include "wire/coap/coap_option_writer.hpp"

#include "wire/coap/coap_option_reader.hpp"

#include <array>
#include <coap3/coap.h>

namespace briardrum
{

coap_option_writer::coap_option_writer(byte_buffer& out) : out_(out) {}

auto coap_option_writer::append(std::uint16_t number, byte_view value) -> void
{
    // The caller appended options out of order.
    BRIARDRUM_INVARIANT(number >= last_number_);
    const auto delta = static_cast<std::uint16_t>(number - last_number_);
    const auto start = out_.size();
    const auto encoded_size = coap_opt_encode_size(delta, value.size());
    out_.resize(start + encoded_size);
    const auto n = coap_opt_encode(out_.data() + start, encoded_size, delta,
                                   value.data(), value.size());
    // The caller passed a value too long for a CoAP option.
    BRIARDRUM_INVARIANT(n == encoded_size);
    last_number_ = number;
}

auto coap_option_writer::append(std::uint16_t number, std::uint32_t value)
    -> void
{
    std::array<std::uint8_t, sizeof(value)> buf{};
    const auto n = coap_encode_var_safe(buf.data(), buf.size(), value);
    append(number, byte_view(buf).first(n));
}

auto coap_option_writer::append_payload(byte_view payload) -> void
{
    if (payload.empty())
    {
        return;
    }
    out_.push_back(coap_payload_marker);
    out_.insert(out_.end(), payload.begin(), payload.end());
}

} // namespace briardrum
