#include "wire/coap/coap_option_reader.hpp"
#include "wire/coap/coap_view.hpp"

namespace briardrum
{

namespace
{

constexpr std::size_t uint_bytes_max = 4;
constexpr std::size_t observe_bytes_max = 3;
constexpr std::size_t block_bytes_max = 3;
// Size exponent 7 is reserved (RFC 7959, section 2.2).
constexpr std::uint32_t block_exponent_reserved = 7;

auto malformed(const char* what) -> absl::Status
{
    return make_error(error_kind::malformed, what);
}

auto to_uint(byte_view bytes) -> std::uint32_t
{
    std::uint32_t value = 0;
    for (const auto byte : bytes)
    {
        value = (value << 8U) | byte;
    }
    return value;
}

// Stores the first occurrence of an elective uint option. An option of invalid
// length is ignored (RFC 7252, section 5.4.3).
auto store_uint(byte_view value, std::size_t bytes_max,
                std::optional<std::uint32_t>& field) -> void
{
    if (value.size() <= bytes_max && !field.has_value())
    {
        field = to_uint(value);
    }
}

// Block options are critical: an invalid one makes the datagram malformed.
auto store_block(byte_view value, std::optional<coap_block>& field) -> bool
{
    if (value.size() > block_bytes_max || field.has_value())
    {
        return false;
    }
    const auto bits = to_uint(value);
    const auto exponent = bits & 7U;
    field = coap_block{bits >> 4U, (bits & 8U) != 0,
                       static_cast<std::uint8_t>(exponent)};
    return exponent != block_exponent_reserved;
}

auto store_first(byte_view value, byte_view& field) -> void
{
    if (field.data() == nullptr)
    {
        field = value;
    }
}

// Stores an option that coap_view has a field for and ignores others. Returns
// false if the option is invalid.
auto store_option(const coap_option& option, coap_view& view) -> bool
{
    switch (option.number)
    {
    case coap_option_observe:
        store_uint(option.value, observe_bytes_max, view.observe);
        return true;
    case coap_option_max_age:
        store_uint(option.value, uint_bytes_max, view.max_age_s);
        return true;
    case coap_option_block2:
        return store_block(option.value, view.block2);
    case coap_option_block1:
        return store_block(option.value, view.block1);
    case coap_option_echo:
        store_first(option.value, view.echo);
        return true;
    case coap_option_request_tag:
        store_first(option.value, view.request_tag);
        return true;
    case coap_option_deadline:
        store_uint(option.value, uint_bytes_max, view.deadline_ms);
        return true;
    case coap_option_urgency:
        store_uint(option.value, uint_bytes_max, view.urgency);
        return true;
    default:
        return true;
    }
}

// Returns true for a request, a response or an empty message. Classes 1, 6 and
// 7 are not used over UDP.
auto is_known_class(std::uint8_t code) -> bool
{
    const auto code_class = code >> 5U;
    return code_class == 0 || (code_class >= 2 && code_class <= 5);
}

auto read_header(byte_view datagram, coap_view& view) -> absl::Status
{
    if (datagram.size() < coap_header_bytes)
    {
        return malformed("datagram is shorter than a CoAP header");
    }
    if (datagram[0] >> 6U != coap_version)
    {
        return make_error(error_kind::wrong_version,
                          "datagram is not of CoAP version 1");
    }
    view.type = static_cast<coap_type>((datagram[0] >> 4U) & 3U);
    view.code = datagram[1];
    view.message_id =
        static_cast<std::uint16_t>((datagram[2] << 8U) | datagram[3]);
    const std::size_t token_bytes = datagram[0] & 15U;
    const auto rest = datagram.subspan(coap_header_bytes);
    if (token_bytes > coap_token_bytes_max || token_bytes > rest.size())
    {
        return malformed("CoAP token length is invalid");
    }
    view.token = rest.first(token_bytes);
    if (!is_known_class(view.code))
    {
        return malformed("CoAP code is of a reserved class");
    }
    if (view.is_empty() && !rest.empty())
    {
        return malformed("empty CoAP message has content after the header");
    }
    return absl::OkStatus();
}

} // namespace

auto read_coap(byte_view datagram) -> absl::StatusOr<coap_view>
{
    if (datagram.size() > coap_datagram_max)
    {
        return make_error(error_kind::oversize, "datagram is too large");
    }
    coap_view view;
    if (auto ec = read_header(datagram, view); !ec.ok())
    {
        return ec;
    }
    coap_option_reader reader(
        datagram.subspan(coap_header_bytes + view.token.size()));
    while (reader.next())
    {
        if (!store_option(reader.option(), view))
        {
            return malformed("CoAP block option is invalid");
        }
    }
    if (reader.failed())
    {
        return malformed("CoAP option or payload is invalid or truncated");
    }
    view.payload = reader.payload();
    return view;
}

} // namespace briardrum
