#include "io/server/server_announcement.hpp"

#include "wire/coap/coap_option_reader.hpp"
#include "wire/coap/coap_option_writer.hpp"
#include "wire/wire.hpp"

#include <nlohmann/json.hpp>

namespace briardrum
{

namespace
{

constexpr std::uint8_t method_get = 1;
constexpr std::uint8_t code_content = 0x45;
constexpr std::uint8_t token_bytes = 2;
constexpr std::uint64_t slots_max = 100000;

auto malformed(const std::string& message) -> absl::Status
{
    return make_error(error_kind::malformed, message);
}

} // namespace

auto parse_announcement(byte_view payload)
    -> absl::StatusOr<server_announcement>
{
    const auto document =
        nlohmann::json::parse(payload.begin(), payload.end(), nullptr, false);
    if (!document.is_object() || !document.contains("service") ||
        !document["service"].is_string())
    {
        return malformed("the announcement names no service");
    }
    server_announcement out;
    out.service = document["service"].get<std::string>();
    const auto slots = document.find("slots");
    if (slots != document.end())
    {
        if (!slots->is_number_unsigned() ||
            slots->get<std::uint64_t>() > slots_max)
        {
            return malformed("the announcement's slots are no number");
        }
        out.slots = slots->get<std::uint32_t>();
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
