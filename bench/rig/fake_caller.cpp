#include "bench/rig/fake_caller.hpp"

#include <array>
#include <cmath>
#include <utility>

namespace briardrum::rig
{

namespace
{

constexpr std::uint8_t method_get = 1;
constexpr std::uint8_t method_post = 2;
constexpr int retransmit_max = 4;
constexpr millis stream_check_interval = seconds(1);
constexpr std::uint32_t sequence_half = 1U << 23U;

auto number_token(std::uint64_t number) -> std::array<std::uint8_t, 4>
{
    return {static_cast<std::uint8_t>(number >> 24U),
            static_cast<std::uint8_t>(number >> 16U),
            static_cast<std::uint8_t>(number >> 8U),
            static_cast<std::uint8_t>(number)};
}

auto token_number(byte_view token) -> std::uint64_t
{
    std::uint64_t number = 0;
    for (const auto octet : token)
    {
        number = (number << 8U) | octet;
    }
    return number;
}

} // namespace

fake_caller::fake_caller(std::string name, std::string service,
                         caller_profile profile, event_queue& queue,
                         std::uint64_t seed, caller_totals& totals,
                         send_hook send)
    : name_(std::move(name)), service_(std::move(service)), profile_(profile),
      queue_(queue), random_(seed), totals_(totals), send_(std::move(send)),
      next_message_id_(static_cast<std::uint16_t>(random_.below(65536)))
{
}

auto fake_caller::start(millis delay) -> void
{
    queue_.after(delay,
                 [this]
                 {
                     send_request(method_get, profile_.streams);
                 });
}

auto fake_caller::finish() -> void
{
    finished_ = true;
}

auto fake_caller::on_datagram(byte_view datagram) -> void
{
    const auto view = read_coap(datagram);
    if (!view.ok())
    {
        ++totals_.wrong;
        return;
    }
    if (view->type == coap_type::confirmable)
    {
        coap_reply ack;
        ack.message_id = view->message_id;
        send_(write_coap(ack));
    }
    if (view->is_empty())
    {
        const auto ours = view->type == coap_type::acknowledgement &&
                          current_.open &&
                          view->message_id == current_.message_id;
        current_.acknowledged = current_.acknowledged || ours;
        return;
    }
    const auto number = token_number(view->token);
    const auto first = current_.open && number == current_.number;
    if (first)
    {
        on_answer(*view);
    }
    else if (number == stream_token_ && view->observe.has_value())
    {
        on_notification(*view);
    }
}

auto fake_caller::server() const -> const std::string&
{
    return server_;
}

auto fake_caller::excuse() -> void
{
    excused_ = true;
}

auto fake_caller::is_broken() const -> bool
{
    return broken_;
}

auto fake_caller::open_request() const -> std::string
{
    return current_.open ? current_.key : std::string();
}

auto fake_caller::next_request() -> void
{
    if (finished_ || current_.open)
    {
        return;
    }
    const auto confirms =
        !cookie_.empty() && random_.chance(profile_.confirm_share);
    send_request(confirms ? method_post : method_get, false);
}

auto fake_caller::send_request(std::uint8_t method, bool observe) -> void
{
    const auto number = next_number_++;
    current_ = {};
    current_.number = number;
    current_.method = method;
    current_.key = name_ + "/" + std::to_string(number);
    current_.message_id = next_message_id_++;
    current_.sent_at = queue_.now();
    current_.interval = {2000 + static_cast<std::int64_t>(random_.below(1000))};
    current_.open = true;
    const auto token = number_token(number);
    coap_reply out;
    out.type = coap_type::confirmable;
    out.code = method;
    out.message_id = current_.message_id;
    out.token = token;
    out.text = current_.key;
    coap_edit edit;
    edit.echo = byte_view(cookie_);
    if (observe)
    {
        edit.observe = 0;
        stream_token_ = number;
        stream_heard_ = queue_.now();
    }
    current_.datagram = *edit_coap(write_coap(out), edit);
    cookie_.clear();
    ++totals_.sent;
    send_(current_.datagram);
    queue_.after(current_.interval,
                 [this, number]
                 {
                     retransmit(number);
                 });
    queue_.after(profile_.patience,
                 [this, number]
                 {
                     give_up(number);
                 });
}

auto fake_caller::retransmit(std::uint64_t number) -> void
{
    const auto done = !current_.open || current_.number != number ||
                      current_.acknowledged || current_.sends > retransmit_max;
    if (done)
    {
        return;
    }
    ++current_.sends;
    ++totals_.retransmissions;
    current_.interval = current_.interval * 2;
    send_(current_.datagram);
    queue_.after(current_.interval,
                 [this, number]
                 {
                     retransmit(number);
                 });
}

auto fake_caller::give_up(std::uint64_t number) -> void
{
    if (!current_.open || current_.number != number)
    {
        return;
    }
    current_.open = false;
    ++totals_.missing;
    mark_broken("missing " + current_.key);
    plan_next();
}

auto fake_caller::on_answer(const coap_view& view) -> void
{
    std::string key;
    const auto success = view.code >= 0x40 && view.code < 0x60;
    if (!success)
    {
        on_refusal(view, {view.payload.begin(), view.payload.end()});
        return;
    }
    current_.open = false;
    if (!read_payload(view, key) || key != current_.key)
    {
        ++totals_.wrong;
    }
    else
    {
        ++totals_.answered;
        totals_.latencies.push_back((queue_.now() - current_.sent_at).count);
    }
    if (!view.echo.empty())
    {
        cookie_ = to_buffer(view.echo);
    }
    if (view.observe.has_value() && current_.number == stream_token_)
    {
        stream_sequence_ = *view.observe;
        stream_heard_ = queue_.now();
        queue_.after(stream_check_interval,
                     [this]
                     {
                         check_stream();
                     });
    }
    plan_next();
}

auto fake_caller::on_refusal(const coap_view& view, const std::string& text)
    -> void
{
    current_.open = false;
    constexpr std::uint8_t code_unauthorized = 0x81;
    if (view.code == code_unauthorized)
    {
        ++totals_.cookie_missing;
    }
    if (text == "not run")
    {
        ++totals_.not_run;
        totals_.not_run_keys.push_back(current_.key);
    }
    else if (text == "outcome unknown")
    {
        ++totals_.outcome_unknown;
        mark_broken("unknown " + current_.key);
    }
    else
    {
        ++totals_.busy;
    }
    plan_next();
}

auto fake_caller::on_notification(const coap_view& view) -> void
{
    std::string key;
    if (!read_payload(view, key))
    {
        ++totals_.wrong;
    }
    ++totals_.notifications;
    const auto step = (*view.observe - stream_sequence_) & 0xffffffU;
    // A notification that is older than the last is not used (RFC 7641); it
    // is no sign of life of the stream either.
    if (step != 0 && step < sequence_half)
    {
        stream_sequence_ = *view.observe;
        stream_heard_ = queue_.now();
    }
}

auto fake_caller::check_stream() -> void
{
    if (finished_ || stream_token_ == 0)
    {
        return;
    }
    if (queue_.now() - stream_heard_ > profile_.stream_silence_max)
    {
        mark_broken("stream silent");
        stream_token_ = 0;
        return;
    }
    queue_.after(stream_check_interval,
                 [this]
                 {
                     check_stream();
                 });
}

auto fake_caller::read_payload(const coap_view& view, std::string& key) -> bool
{
    const std::string text(view.payload.begin(), view.payload.end());
    const auto first = text.find('|');
    const auto second = text.find('|', first + 1);
    if (first == std::string::npos || second == std::string::npos)
    {
        return false;
    }
    server_ = text.substr(first + 1, second - first - 1);
    key = text.substr(second + 1);
    return text.substr(0, first) == service_;
}

auto fake_caller::mark_broken(const std::string& why) -> void
{
    totals_.notes.push_back(std::to_string(queue_.now().count) + " " + name_ +
                            " at " + server_ + (excused_ ? " excused " : " ") +
                            why);
    if (broken_)
    {
        return;
    }
    broken_ = true;
    ++(excused_ ? totals_.excused_flows : totals_.broken_flows);
}

auto fake_caller::plan_next() -> void
{
    const auto mean = static_cast<double>(profile_.think_mean.count);
    const auto think = -mean * std::log(1 - random_.unit());
    queue_.after({static_cast<std::int64_t>(think) + 1},
                 [this]
                 {
                     next_request();
                 });
}

} // namespace briardrum::rig
