#include "wire/coap/coap_option_reader.hpp"
#include "wire/coap/coap_option_writer.hpp"
#include "wire/coap/coap_view.hpp"

namespace briardrum
{

namespace
{

constexpr std::size_t echo_bytes_max = 40;
// An Observe sequence has 24 bits (RFC 7641, section 3.4).
constexpr std::uint32_t observe_mask = 0xffffff;

auto append_header(coap_type type, std::uint8_t code, std::uint16_t message_id,
                   byte_view token, byte_buffer& out) -> void
{
    const auto first = (coap_version << 6U) |
                       (static_cast<unsigned>(type) << 4U) | token.size();
    out.push_back(static_cast<std::uint8_t>(first));
    out.push_back(code);
    out.push_back(static_cast<std::uint8_t>(message_id >> 8U));
    out.push_back(static_cast<std::uint8_t>(message_id & 0xffU));
    out.insert(out.end(), token.begin(), token.end());
}

auto check_edit(const coap_view& view, const coap_edit& edit) -> absl::Status
{
    const auto adds = edit.token.has_value() || edit.echo.has_value() ||
                      edit.observe.has_value();
    if (view.is_empty() && adds)
    {
        return make_error(
            error_kind::invalid_argument,
            "an empty CoAP message cannot have a token or options");
    }
    if (edit.token.value_or(byte_view{}).size() > coap_token_bytes_max)
    {
        return make_error(error_kind::invalid_argument,
                          "token is longer than CoAP allows");
    }
    if (edit.echo.value_or(byte_view{}).size() > echo_bytes_max)
    {
        return make_error(error_kind::invalid_argument,
                          "Echo option is longer than CoAP allows");
    }
    return absl::OkStatus();
}

// Merges the options that an edit sets into the copied options, in ascending
// order of their numbers.
class option_merger
{
public:
    option_merger(const coap_edit& edit, coap_option_writer& out)
        : edit_(edit), out_(out)
    {
    }

    auto copy(const coap_option& option) -> void
    {
        if (!replaces(option.number))
        {
            append_edits_before(option.number);
            out_.append(option.number, option.value);
        }
    }

    auto finish() -> void
    {
        append_edits_before(coap_option_echo + 1);
    }

private:
    auto replaces(std::uint16_t number) const -> bool
    {
        return (number == coap_option_observe && edit_.observe.has_value()) ||
               (number == coap_option_echo && edit_.echo.has_value());
    }

    auto append_edits_before(std::uint16_t number) -> void
    {
        if (!observe_done_ && number > coap_option_observe)
        {
            observe_done_ = true;
            append_observe();
        }
        if (!echo_done_ && number > coap_option_echo)
        {
            echo_done_ = true;
            append_echo();
        }
    }

    auto append_observe() -> void
    {
        if (edit_.observe.has_value())
        {
            out_.append(coap_option_observe, *edit_.observe & observe_mask);
        }
    }

    auto append_echo() -> void
    {
        if (edit_.echo.has_value() && !edit_.echo->empty())
        {
            out_.append(coap_option_echo, *edit_.echo);
        }
    }

    const coap_edit& edit_;
    coap_option_writer& out_;
    bool observe_done_ = false;
    bool echo_done_ = false;
};

} // namespace

auto edit_coap(byte_view datagram, const coap_edit& edit)
    -> absl::StatusOr<byte_buffer>
{
    const auto view = read_coap(datagram);
    if (!view.ok())
    {
        return view.status();
    }
    if (auto ec = check_edit(*view, edit); !ec.ok())
    {
        return ec;
    }
    byte_buffer out;
    out.reserve(datagram.size() + coap_edit_growth_max);
    append_header(edit.type.value_or(view->type), view->code,
                  edit.message_id.value_or(view->message_id),
                  edit.token.value_or(view->token), out);
    coap_option_writer writer(out);
    option_merger merge(edit, writer);
    coap_option_reader reader(
        datagram.subspan(coap_header_bytes + view->token.size()));
    while (reader.next())
    {
        merge.copy(reader.option());
    }
    merge.finish();
    writer.append_payload(reader.payload());
    // An edit adds more than it has room for.
    BRIARDRUM_INVARIANT(out.size() <= datagram.size() + coap_edit_growth_max);
    return out;
}

auto write_coap(const coap_reply& reply) -> byte_buffer
{
    constexpr std::uint16_t class_unit = 100;
    constexpr std::size_t overhead_max = 32;
    // The caller passed a token longer than CoAP allows.
    BRIARDRUM_INVARIANT(reply.token.size() <= coap_token_bytes_max);
    // The caller passed a text that does not fit into a datagram.
    BRIARDRUM_INVARIANT(reply.text.size() <= coap_datagram_max - overhead_max);
    const auto code =
        ((reply.code / class_unit) << 5U) | (reply.code % class_unit);
    byte_buffer out;
    append_header(reply.type, static_cast<std::uint8_t>(code), reply.message_id,
                  code == 0 ? byte_view{} : reply.token, out);
    if (code == 0)
    {
        return out;
    }
    coap_option_writer writer(out);
    if (reply.max_age_s.has_value())
    {
        writer.append(coap_option_max_age, *reply.max_age_s);
    }
    writer.append_payload(as_bytes(reply.text));
    return out;
}

} // namespace briardrum
