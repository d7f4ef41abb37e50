#include "io/server/server_announcement.hpp"

#include "wire/coap/coap_option_reader.hpp"
#include "wire/coap/coap_option_writer.hpp"
#include "wire/wire.hpp"

#include <algorithm>
#include <charconv>

namespace briardrum
{

namespace
{

constexpr std::uint8_t method_get = 1;
constexpr std::uint8_t code_content = 0x45;
constexpr std::uint8_t token_bytes = 2;
constexpr std::uint32_t slots_max = 100000;

auto malformed(const std::string& message) -> absl::Status
{
    return make_error(error_kind::malformed, message);
}

auto read_slots(std::string_view text, std::uint32_t& out) -> bool
{
    const auto* end = text.data() + text.size();
    const auto [next, ec] = std::from_chars(text.data(), end, out);
    return ec == std::errc{} && next == end && out <= slots_max;
}

} // namespace

auto parse_announcement(byte_view payload)
    -> absl::StatusOr<server_announcement>
{
    server_announcement out;
    std::string_view rest(reinterpret_cast<const char*>(payload.data()),
                          payload.size());
    while (!rest.empty())
    {
        const auto pair = rest.substr(0, rest.find(' '));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
        const auto cut = pair.find('=');
        if (cut == std::string_view::npos)
        {
            return malformed("the announcement has no key=value pairs");
        }
        const auto value = pair.substr(cut + 1);
        if (pair.substr(0, cut) == "service")
        {
            out.service = std::string(value);
        }
        if (pair.substr(0, cut) == "slots" && !read_slots(value, out.slots))
        {
            return malformed("the announcement's slots are no number");
        }
    }
    if (out.service.empty())
    {
        return malformed("the announcement names no service");
    }
    return out;
}

auto write_announcement_request(std::uint16_t message_id) -> byte_buffer
{
    const auto high = static_cast<std::uint8_t>(message_id >> 8U);
    const auto low = static_cast<std::uint8_t>(message_id & 0xffU);
    const auto first =
        static_cast<std::uint8_t>((coap_version << 6U) | token_bytes);
    byte_buffer out = {first, method_get, high, low, high, low};
    coap_option_writer options(out);
    auto rest = announcement_path.substr(1);
    const auto cut = rest.find('/');
    options.append(coap_option_uri_path, as_bytes(rest.substr(0, cut)));
    options.append(coap_option_uri_path, as_bytes(rest.substr(cut + 1)));
    return out;
}

auto read_announcement_answer(byte_view datagram)
    -> absl::StatusOr<server_announcement>
{
    const auto view = read_coap(datagram);
    if (!view.ok())
    {
        return view.status();
    }
    if (!view->is_response())
    {
        return malformed("no CoAP answer");
    }
    if (view->code != code_content)
    {
        return make_error(error_kind::not_found,
                          "the server has no " +
                              std::string(announcement_path));
    }
    const auto begin = coap_header_bytes + view->token.size();
    coap_option_reader options(datagram.subspan(begin));
    while (options.next())
    {
    }
    return parse_announcement(options.payload());
}

} // namespace briardrum
