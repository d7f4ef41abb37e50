#include "wire/coap/coap_option_reader.hpp"
#include "wire/coap/coap_view.hpp"
#include "wire/codec/control_codec.hpp"
#include "wire/codec/decode_guard.hpp"
#include "wire/codec/schema_check.hpp"

#include <algorithm>
#include <control_generated.h>
#include <limits>

namespace briardrum
{

namespace
{

constexpr std::int64_t percent_max = 100;

auto to_view(const flatbuffers::String* text) -> std::string_view
{
    return text == nullptr ? std::string_view{} : text->string_view();
}

auto to_view(const flatbuffers::Vector<std::uint8_t>* bytes) -> byte_view
{
    return bytes == nullptr ? byte_view{}
                            : byte_view{bytes->data(), bytes->size()};
}

// Reads all items of a vector, which may be missing. item_bytes_min is the
// minimum size of one item in the message.
template <typename Vector, typename Read>
auto read_vector(decode_guard& guard, const Vector* items,
                 std::size_t item_bytes_min, Read read)
{
    std::vector<decltype(read(guard, *items->Get(0)))> values;
    const std::size_t n = items == nullptr ? 0 : items->size();
    if (!guard.consume(n * item_bytes_min))
    {
        return values;
    }
    values.reserve(n);
    for (std::uint32_t i = 0; i < n && guard.ok(); ++i)
    {
        values.push_back(read(guard, *items->Get(i)));
    }
    return values;
}

auto from_schema(const schema::address& value) -> endpoint
{
    return {value.ip(), value.port()};
}

auto from_schema(const schema::flow& key) -> flow_key
{
    return {from_schema(key.caller()), key.service()};
}

auto read_request_id(decode_guard& guard, const schema::request_name& from)
    -> request_id
{
    request_id id;
    id.flow = from_schema(from.key());
    id.token = from.token();
    id.token_length = static_cast<std::uint8_t>(
        guard.number(from.token_length(), 0, coap_token_bytes_max));
    id.message_id = from.message_id();
    id.request_tag = from.request_tag();
    return id;
}

auto read_member(decode_guard& guard, const schema::member& from)
    -> member_record
{
    const auto& numbers = *from.numbers();
    member_record record;
    record.id = numbers.id();
    record.incarnation = numbers.life();
    record.version = numbers.version();
    record.kind = guard.enumerator(numbers.kind(), member_kind::agent);
    record.state = guard.enumerator(numbers.state(), member_state::dead);
    record.name = guard.text(to_view(from.name()), member_text_bytes_max);
    record.data_centre =
        guard.text(to_view(from.data_centre()), member_text_bytes_max);
    record.data_address = from_schema(numbers.data_address());
    record.control_address = from_schema(numbers.control_address());
    record.service_name =
        guard.text(to_view(from.service_name()), member_text_bytes_max);
    record.slots = numbers.slots();
    record.weight_percent = static_cast<std::uint8_t>(
        guard.number(numbers.weight_percent(), 1, percent_max));
    record.held_version = numbers.holds();
    return record;
}

auto read_redirect(decode_guard& /*guard*/, const schema::redirect& from)
    -> redirect_record
{
    return {from_schema(from.key()), from.owner(), from.owner_life(),
            from.generation()};
}

auto read_owner(decode_guard& /*guard*/, const schema::flow_owner& from)
    -> flow_owner
{
    return {from.id(), from.life(), from.generation()};
}

auto read_request(decode_guard& guard, const schema::request& from)
    -> request_record
{
    request_record record;
    record.id = read_request_id(guard, *from.id());
    record.state = guard.enumerator(from.state(), request_state::refused);
    record.answer = guard.bytes(to_view(from.answer()), coap_datagram_max);
    record.remaining = {
        guard.number(from.remaining_ms(), 0, request_remaining_max.count)};
    return record;
}

auto read_observe(decode_guard& guard, const schema::observe& from)
    -> observe_record
{
    observe_record record;
    record.id = read_request_id(guard, *from.id());
    record.request = guard.bytes(to_view(from.datagram()), coap_datagram_max);
    record.sequence = from.sequence();
    return record;
}

auto read_change(decode_guard& guard, const schema::change& from)
    -> configuration_change
{
    configuration_change change;
    change.key = guard.text(to_view(from.key()), configuration_key_bytes_max);
    change.value =
        guard.text(to_view(from.value()), configuration_value_bytes_max);
    change.removed = from.removed();
    return change;
}

auto read(decode_guard& guard, const schema::gossip& from) -> control_body
{
    return gossip_message{read_vector(guard, from.records(),
                                      sizeof(schema::member_numbers),
                                      read_member),
                          from.want_all()};
}

auto read(decode_guard& /*guard*/, const schema::probe& from) -> control_body
{
    const auto* sender = from.sender_address();
    return probe_message{from.sequence(), from.subject(),
                         sender == nullptr ? endpoint{} : from_schema(*sender)};
}

auto read(decode_guard& /*guard*/, const schema::probe_ack& from)
    -> control_body
{
    return probe_ack_message{from.sequence(), from.subject()};
}

auto read(decode_guard& guard, const schema::redirects& from) -> control_body
{
    redirects_message message;
    message.sequence = from.sequence();
    message.redirects = read_vector(guard, from.records(),
                                    sizeof(schema::redirect), read_redirect);
    message.last = from.last();
    if (from.peers() != nullptr &&
        guard.consume(from.peers()->size() * sizeof(member_id)))
    {
        message.peers.assign(from.peers()->begin(), from.peers()->end());
    }
    return message;
}

auto read(decode_guard& guard, const schema::hand_over& from) -> control_body
{
    const auto& numbers = *from.numbers();
    hand_over_message message;
    message.sequence = from.sequence();
    message.flow.key = from_schema(numbers.key());
    message.flow.generation = numbers.generation();
    message.flow.may_have_run = numbers.may_have_run();
    message.flow.balancer = numbers.balancer();
    message.flow.owners = read_vector(guard, from.owners(),
                                      sizeof(schema::flow_owner), read_owner);
    message.flow.requests = read_vector(
        guard, from.requests(), sizeof(schema::request_name), read_request);
    message.flow.observes = read_vector(
        guard, from.observes(), sizeof(schema::request_name), read_observe);
    return message;
}

auto read(decode_guard& /*guard*/, const schema::transfer_ack& from)
    -> control_body
{
    return transfer_ack_message{from.sequence(), from.accepted()};
}

auto read(decode_guard& guard, const schema::configuration_update& from)
    -> control_body
{
    // A change consists at least of its entry in the vector and its vtable
    // offset.
    constexpr std::size_t change_bytes_min = 8;
    return configuration_message{
        from.from_version(), from.to_version(),
        read_vector(guard, from.changes(), change_bytes_min, read_change)};
}

auto read(decode_guard& /*guard*/, const schema::configuration_query& from)
    -> control_body
{
    return configuration_request{from.have()};
}

auto read(decode_guard& /*guard*/, const schema::load& from) -> control_body
{
    return load_message{from.service(), from.flows(), from.rate(),
                        from.in_progress()};
}

auto read(decode_guard& /*guard*/, const schema::heartbeat& from)
    -> control_body
{
    return heartbeat_message{from.sequence()};
}

auto read_flow(decode_guard& /*guard*/, const schema::flow& from) -> flow_key
{
    return from_schema(from);
}

auto read(decode_guard& guard, const schema::flow_query& from) -> control_body
{
    return flow_query_message{
        from.sequence(),
        read_vector(guard, from.flows(), sizeof(schema::flow), read_flow),
        from.members()};
}

auto read(decode_guard& guard, const schema::flow_reply& from) -> control_body
{
    flow_reply_message out{
        from.sequence(),
        from.agents(),
        read_vector(guard, from.held(), sizeof(schema::flow), read_flow),
        read_vector(guard, from.absent(), sizeof(schema::flow), read_flow),
        {}};
    if (from.members() != nullptr &&
        guard.consume(from.members()->size() * sizeof(std::uint32_t)))
    {
        out.members.assign(from.members()->begin(), from.members()->end());
    }
    return out;
}

auto read_name(decode_guard& guard, const flatbuffers::String& from)
    -> std::string
{
    return guard.text(to_view(&from), member_text_bytes_max);
}

auto read_limit(decode_guard& /*guard*/, const schema::warm_up_limit& from)
    -> service_warm_up
{
    return {from.service(), from.per_second_milli()};
}

auto is_sorted_policy(const placement_policy& policy) -> bool
{
    const auto not_before = [](const auto& a, const auto& b)
    {
        return a >= b;
    };
    const auto not_before_by_service =
        [](const service_warm_up& a, const service_warm_up& b)
    {
        return a.service >= b.service;
    };
    return std::adjacent_find(policy.evacuated.begin(), policy.evacuated.end(),
                              not_before) == policy.evacuated.end() &&
           std::adjacent_find(policy.warm_up.begin(), policy.warm_up.end(),
                              not_before_by_service) == policy.warm_up.end();
}

auto read(decode_guard& guard, const schema::placement_policy& from)
    -> control_body
{
    // An entry of the vector and the length of the name.
    constexpr std::size_t name_bytes_min = 8;
    placement_policy policy;
    policy.era = from.era();
    policy.revision = guard.number(from.revision(), 0,
                                   std::numeric_limits<std::int64_t>::max());
    policy.evacuated =
        read_vector(guard, from.evacuated(), name_bytes_min, read_name);
    policy.warm_up = read_vector(guard, from.warm_up(),
                                 sizeof(schema::warm_up_limit), read_limit);
    const auto entries = policy.evacuated.size() + policy.warm_up.size();
    const auto entries_max = policy.revision == 0 ? 0 : policy_entries_max;
    guard.number(static_cast<std::int64_t>(entries), 0,
                 static_cast<std::int64_t>(entries_max));
    guard.number(is_sorted_policy(policy) ? 1 : 0, 1, 1);
    return placement_policy_message{std::move(policy)};
}

// Returns the body, or std::nullopt for a type unknown to this version.
auto read_body(decode_guard& guard, const schema::control& from)
    -> std::optional<control_body>
{
    using kind = schema::control_body;
    switch (from.body_type())
    {
    case kind::gossip:
        return read(guard, *from.body_as_gossip());
    case kind::probe:
        return read(guard, *from.body_as_probe());
    case kind::probe_ack:
        return read(guard, *from.body_as_probe_ack());
    case kind::redirects:
        return read(guard, *from.body_as_redirects());
    case kind::hand_over:
        return read(guard, *from.body_as_hand_over());
    case kind::transfer_ack:
        return read(guard, *from.body_as_transfer_ack());
    case kind::configuration_update:
        return read(guard, *from.body_as_configuration_update());
    case kind::configuration_query:
        return read(guard, *from.body_as_configuration_query());
    case kind::load:
        return read(guard, *from.body_as_load());
    case kind::heartbeat:
        return read(guard, *from.body_as_heartbeat());
    case kind::flow_query:
        return read(guard, *from.body_as_flow_query());
    case kind::flow_reply:
        return read(guard, *from.body_as_flow_reply());
    case kind::placement_policy:
        return read(guard, *from.body_as_placement_policy());
    case kind::NONE:
        break;
    }
    return std::nullopt;
}

} // namespace

auto decode_control(byte_view bytes) -> absl::StatusOr<control_message>
{
    if (auto ec = check_identifier(bytes, schema::controlIdentifier());
        !ec.ok())
    {
        return ec;
    }
    flatbuffers::Verifier verifier(bytes.data(), bytes.size());
    if (!schema::VerifycontrolBuffer(verifier))
    {
        return make_error(error_kind::malformed,
                          "control message is not a valid FlatBuffers message");
    }
    const auto& root = *schema::Getcontrol(bytes.data());
    decode_guard guard(bytes.size());
    auto body = read_body(guard, root);
    if (!body.has_value() || !guard.ok())
    {
        return make_error(
            error_kind::malformed,
            "control message has an unknown type or a value out of range");
    }
    return control_message{root.from(), root.from_life(), std::move(*body)};
}

} // namespace briardrum
