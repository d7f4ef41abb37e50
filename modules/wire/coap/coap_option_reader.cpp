#include "wire/coap/coap_option_reader.hpp"

#include <coap3/coap.h>
#include <limits>

namespace briardrum
{

namespace
{

constexpr std::size_t option_number_max =
    std::numeric_limits<std::uint16_t>::max();

// Decodes the option delta. coap_opt_parse() truncates it to 16 bits, so that a
// larger delta would wrap to a small one.
auto decode_delta(byte_view option) -> std::size_t
{
    constexpr std::size_t one_byte_form = 13;
    constexpr std::size_t two_byte_form = 14;
    constexpr std::size_t two_byte_offset = 269;
    const std::size_t nibble = option[0] >> 4U;
    if (nibble == one_byte_form)
    {
        return one_byte_form + option[1];
    }
    if (nibble == two_byte_form)
    {
        return two_byte_offset + (std::size_t{option[1]} << 8U) + option[2];
    }
    return nibble;
}

} // namespace

coap_option_reader::coap_option_reader(byte_view bytes) : rest_(bytes) {}

auto coap_option_reader::next() -> bool
{
    if (failed_ || at_payload_ || rest_.empty())
    {
        return false;
    }
    if (rest_.front() == coap_payload_marker)
    {
        return begin_payload();
    }
    coap_option_t parsed{};
    const auto n = coap_opt_parse(rest_.data(), rest_.size(), &parsed);
    if (n == 0 || n > rest_.size() || parsed.length > n)
    {
        return fail();
    }
    const auto number = option_.number + decode_delta(rest_);
    if (number > option_number_max)
    {
        return fail();
    }
    option_.number = static_cast<std::uint16_t>(number);
    option_.value = rest_.first(n).last(parsed.length);
    rest_ = rest_.subspan(n);
    return true;
}

auto coap_option_reader::option() const -> const coap_option&
{
    return option_;
}

auto coap_option_reader::failed() const -> bool
{
    return failed_;
}

auto coap_option_reader::payload() const -> byte_view
{
    return at_payload_ ? rest_ : byte_view{};
}

auto coap_option_reader::fail() -> bool
{
    failed_ = true;
    return false;
}

auto coap_option_reader::begin_payload() -> bool
{
    // A payload marker without a payload is an error (RFC 7252, section 3).
    if (rest_.size() == 1)
    {
        return fail();
    }
    rest_ = rest_.subspan(1);
    at_payload_ = true;
    return false;
}

} // namespace briardrum
