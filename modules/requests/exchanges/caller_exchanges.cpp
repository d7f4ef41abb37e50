#include "requests/exchanges/caller_exchanges.hpp"

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

namespace briardrum
{

namespace
{

// How long a reset of a non-confirmable notification is still recognised.
constexpr millis notification_reset_window = seconds(10);

// A caller's token in network byte order.
class token_bytes
{
public:
    explicit token_bytes(const request_id& id) : length_(id.token_length)
    {
        for (std::size_t n = 0; n < length_; ++n)
        {
            const auto shift = 8 * (length_ - 1 - n);
            bytes_.at(n) = static_cast<std::uint8_t>(id.token >> shift);
        }
    }

    auto view() const -> byte_view
    {
        return {bytes_.data(), length_};
    }

private:
    std::array<std::uint8_t, 8> bytes_{};
    std::size_t length_;
};

// Rewrites the server's answer for the caller.
auto make_answer(const request_id& id, byte_view server_answer, coap_type type,
                 std::uint16_t message_id, const answer_extras& extras)
    -> byte_buffer
{
    const token_bytes token(id);
    coap_edit edit;
    edit.type = type;
    edit.message_id = message_id;
    edit.token = token.view();
    edit.echo = extras.cookie;
    edit.observe = extras.observe;
    auto out = edit_coap(server_answer, edit);
    // The caller passed an answer that read_coap() does not accept.
    BRIARDRUM_INVARIANT(out.ok());
    return *std::move(out);
}

} // namespace

caller_exchanges::caller_exchanges(send_hook send,
                                   delivery_failed_hook delivery_failed)
    : send_(std::move(send)), delivery_failed_(std::move(delivery_failed))
{
}

auto caller_exchanges::is_open(const request_id& id) const -> bool
{
    return open_.find(id) != nullptr;
}

auto caller_exchanges::find_open(const flow_key& flow,
                                 std::uint16_t message_id) const
    -> std::optional<request_id>
{
    for (const auto& [id, exchange] : open_.rows())
    {
        if (id.flow == flow && id.message_id == message_id)
        {
            return id;
        }
    }
    return std::nullopt;
}

auto caller_exchanges::begin(millis now, const request_id& id, coap_type type)
    -> void
{
    if (open_.find(id) == nullptr)
    {
        adjust_count(id.flow, 1);
    }
    open_.insert(id) = {type, false, now};
}

auto caller_exchanges::repeat(const request_id& id) -> void
{
    const auto* found = open_.find(id);
    if (found != nullptr && found->acknowledged)
    {
        send_empty_ack(id);
    }
}

auto caller_exchanges::answer(millis now, const request_id& id,
                              byte_view server_answer,
                              const answer_extras& extras) -> void
{
    const auto exchange = close(id);
    if (!exchange.has_value())
    {
        return;
    }
    const auto separate =
        exchange->type == coap_type::non_confirmable || exchange->acknowledged;
    if (!separate)
    {
        send_(id.flow,
              make_answer(id, server_answer, coap_type::acknowledgement,
                          id.message_id, extras));
        return;
    }
    const auto message_id = next_message_id(id.flow);
    send_tracked(
        now, {id, false}, exchange->type, message_id,
        make_answer(id, server_answer, exchange->type, message_id, extras));
}

auto caller_exchanges::reply(millis now, const request_id& id,
                             std::uint16_t code,
                             std::optional<std::uint32_t> max_age_s,
                             std::string_view text) -> void
{
    const auto exchange = close(id);
    if (!exchange.has_value())
    {
        return;
    }
    const token_bytes token(id);
    coap_reply out;
    out.code = code;
    out.token = token.view();
    out.max_age_s = max_age_s;
    out.text = text;
    const auto separate =
        exchange->type == coap_type::non_confirmable || exchange->acknowledged;
    if (!separate)
    {
        out.type = coap_type::acknowledgement;
        out.message_id = id.message_id;
        send_(id.flow, write_coap(out));
        return;
    }
    out.type = exchange->type;
    out.message_id = next_message_id(id.flow);
    send_tracked(now, {id, false}, out.type, out.message_id, write_coap(out));
}

auto caller_exchanges::forget(const request_id& id) -> void
{
    close(id);
}

auto caller_exchanges::notify(millis now, const request_id& id,
                              byte_view server_answer,
                              const answer_extras& extras, bool confirmable)
    -> void
{
    const auto previous = take_previous_notification(id);
    const auto pending = previous.has_value() && !previous->datagram.empty();
    const auto type = confirmable || pending ? coap_type::confirmable
                                             : coap_type::non_confirmable;
    const auto message_id = next_message_id(id.flow);
    auto* item =
        send_tracked(now, {id, true}, type, message_id,
                     make_answer(id, server_answer, type, message_id, extras));
    latest_notification_.insert(id) = message_id;
    if (pending)
    {
        item->due = previous->due;
        item->interval = previous->interval;
        item->sends_left = previous->sends_left;
    }
}

auto caller_exchanges::on_ack(const flow_key& flow, std::uint16_t message_id)
    -> std::optional<match>
{
    return remove_sent(flow, message_id);
}

auto caller_exchanges::on_reset(const flow_key& flow, std::uint16_t message_id)
    -> std::optional<match>
{
    return remove_sent(flow, message_id);
}

auto caller_exchanges::tick(millis now) -> void
{
    for (auto& [id, exchange] : open_.rows())
    {
        const auto due = exchange.type == coap_type::confirmable &&
                         !exchange.acknowledged &&
                         now - exchange.arrived >= ack_delay;
        if (due)
        {
            exchange.acknowledged = true;
            send_empty_ack(id);
        }
    }
    std::vector<sent_message> given_up;
    for (auto& [key, item] : sent_.rows())
    {
        if (now < item.due)
        {
            continue;
        }
        if (item.sends_left == 0)
        {
            given_up.push_back(key);
            continue;
        }
        --item.sends_left;
        item.interval = item.interval * 2;
        item.due = now + item.interval;
        send_(key.flow, item.datagram);
    }
    for (const auto& key : given_up)
    {
        const auto confirmable = !sent_.find(key)->datagram.empty();
        const auto subject = remove_sent(key.flow, key.message_id);
        if (confirmable)
        {
            delivery_failed_(*subject);
        }
    }
}

auto caller_exchanges::is_idle(const flow_key& flow) const -> bool
{
    return per_flow_.find(flow) == nullptr;
}

auto caller_exchanges::erase_flow(const flow_key& flow) -> void
{
    open_.erase_if(
        [&](const request_id& id, const open_exchange&)
        {
            return id.flow == flow;
        });
    sent_.erase_if(
        [&](const sent_message& key, const tracked_message&)
        {
            return key.flow == flow;
        });
    latest_notification_.erase_if(
        [&](const request_id& id, std::uint16_t)
        {
            return id.flow == flow;
        });
    per_flow_.erase(flow);
}

auto caller_exchanges::send_empty_ack(const request_id& id) -> void
{
    coap_reply ack;
    ack.type = coap_type::acknowledgement;
    ack.message_id = id.message_id;
    send_(id.flow, write_coap(ack));
}

auto caller_exchanges::close(const request_id& id)
    -> std::optional<open_exchange>
{
    const auto* found = open_.find(id);
    if (found == nullptr)
    {
        return std::nullopt;
    }
    const auto exchange = *found;
    open_.erase(id);
    adjust_count(id.flow, -1);
    return exchange;
}

auto caller_exchanges::send_tracked(millis now, const match& subject,
                                    coap_type type, std::uint16_t message_id,
                                    byte_buffer datagram) -> tracked_message*
{
    send_(subject.id.flow, datagram);
    const auto confirmable = type == coap_type::confirmable;
    if (!confirmable && !subject.is_notification)
    {
        return nullptr;
    }
    if (!subject.is_notification)
    {
        adjust_count(subject.id.flow, 1);
    }
    auto& item = sent_.insert({subject.id.flow, message_id});
    item.subject = subject;
    item.interval = confirmable ? ack_timeout : notification_reset_window;
    item.due = now + item.interval;
    item.sends_left = confirmable ? retransmit_max : 0;
    item.datagram = confirmable ? std::move(datagram) : byte_buffer{};
    return &item;
}

auto caller_exchanges::next_message_id(const flow_key& flow) -> std::uint16_t
{
    auto n = next_message_id_++;
    while (sent_.find({flow, n}) != nullptr)
    {
        n = next_message_id_++;
    }
    return n;
}

auto caller_exchanges::take_previous_notification(const request_id& id)
    -> std::optional<tracked_message>
{
    const auto* message_id = latest_notification_.find(id);
    if (message_id == nullptr)
    {
        return std::nullopt;
    }
    const sent_message key{id.flow, *message_id};
    auto* found = sent_.find(key);
    if (found == nullptr)
    {
        return std::nullopt;
    }
    auto previous = std::move(*found);
    sent_.erase(key);
    return previous;
}

auto caller_exchanges::adjust_count(const flow_key& flow, int change) -> void
{
    auto& n = per_flow_.insert(flow);
    // The caller closed an exchange twice.
    BRIARDRUM_INVARIANT(change > 0 || n > 0);
    n += static_cast<std::size_t>(change);
    if (n == 0)
    {
        per_flow_.erase(flow);
    }
}

auto caller_exchanges::remove_sent(const flow_key& flow,
                                   std::uint16_t message_id)
    -> std::optional<match>
{
    const sent_message key{flow, message_id};
    const auto* found = sent_.find(key);
    if (found == nullptr)
    {
        return std::nullopt;
    }
    const auto subject = found->subject;
    sent_.erase(key);
    if (subject.is_notification)
    {
        latest_notification_.erase(subject.id);
    }
    else
    {
        adjust_count(flow, -1);
    }
    return subject;
}

} // namespace briardrum
