#include "wire/codec/control_codec.hpp"

#include <algorithm>
#include <control_generated.h>

namespace briardrum
{

namespace
{

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

// Offset of a message body in the builder, with its type in the union.
struct encoded_body
{
    schema::control_body kind = schema::control_body::NONE;
    Offset<void> offset;
};

auto to_schema(const endpoint& value) -> schema::address
{
    return {value.address, value.port};
}

auto to_schema(const flow_key& key) -> schema::flow
{
    return {to_schema(key.caller), key.service};
}

auto to_schema(const request_id& id) -> schema::request_name
{
    return {id.token, to_schema(id.flow), id.request_tag, id.message_id,
            id.token_length};
}

auto to_schema(const redirect_record& record) -> schema::redirect
{
    return {record.owner, record.owner_incarnation, to_schema(record.key),
            record.generation};
}

auto fixed_fields_of(const member_record& record) -> schema::member_numbers
{
    return {record.id,
            record.incarnation,
            record.held_version,
            record.version,
            record.slots,
            to_schema(record.data_address),
            to_schema(record.control_address),
            static_cast<std::uint8_t>(record.kind),
            static_cast<std::uint8_t>(record.state),
            record.weight_percent};
}

auto fixed_fields_of(const flow_record& record) -> schema::flow_numbers
{
    return {record.balancer, to_schema(record.key), record.generation,
            record.may_have_run};
}

// Creates a vector of the offsets that write(builder, item) returns.
template <typename Items, typename Write>
auto create_offset_vector(FlatBufferBuilder& out, const Items& items,
                          Write write)
{
    std::vector<decltype(write(out, *items.begin()))> offsets;
    offsets.reserve(items.size());
    for (const auto& item : items)
    {
        offsets.push_back(write(out, item));
    }
    return out.CreateVector(offsets);
}

auto write_flows(FlatBufferBuilder& out, const std::vector<flow_key>& flows)
    -> Offset<flatbuffers::Vector<const schema::flow*>>
{
    std::vector<schema::flow> stored;
    stored.reserve(flows.size());
    for (const auto& item : flows)
    {
        stored.push_back(to_schema(item));
    }
    return out.CreateVectorOfStructs(stored);
}

auto write_member(FlatBufferBuilder& out, const member_record& record)
    -> Offset<schema::member>
{
    const auto numbers = fixed_fields_of(record);
    const auto name = out.CreateString(record.name);
    const auto data_centre = out.CreateString(record.data_centre);
    const auto service_name = out.CreateString(record.service_name);
    return schema::Createmember(out, &numbers, name, data_centre, service_name);
}

auto write_request(FlatBufferBuilder& out, const request_record& record)
    -> Offset<schema::request>
{
    const auto id = to_schema(record.id);
    const auto answer = out.CreateVector(record.answer);
    const auto remaining = std::max<std::int64_t>(record.remaining.count, 0);
    return schema::Createrequest(
        out, &id, static_cast<std::uint8_t>(record.state), answer, remaining);
}

auto write_observe(FlatBufferBuilder& out, const observe_record& record)
    -> Offset<schema::observe>
{
    const auto id = to_schema(record.id);
    const auto datagram = out.CreateVector(record.request);
    return schema::Createobserve(out, &id, datagram, record.sequence);
}

auto write_change(FlatBufferBuilder& out, const configuration_change& change)
    -> Offset<schema::change>
{
    const auto key = out.CreateString(change.key);
    const auto value = out.CreateString(change.value);
    return schema::Createchange(out, key, value, change.removed);
}

auto write(FlatBufferBuilder& out, const gossip_message& message)
    -> encoded_body
{
    const auto records =
        create_offset_vector(out, message.records, write_member);
    return {schema::control_body::gossip,
            schema::Creategossip(out, records, message.want_all).Union()};
}

auto write(FlatBufferBuilder& out, const probe_message& message) -> encoded_body
{
    const auto sender = to_schema(message.sender_address);
    return {schema::control_body::probe,
            schema::Createprobe(out, message.sequence, message.subject,
                                message.sender_address.is_none() ? nullptr
                                                                 : &sender)
                .Union()};
}

auto write(FlatBufferBuilder& out, const probe_ack_message& message)
    -> encoded_body
{
    return {schema::control_body::probe_ack,
            schema::Createprobe_ack(out, message.sequence, message.subject)
                .Union()};
}

auto write(FlatBufferBuilder& out, const redirects_message& message)
    -> encoded_body
{
    std::vector<schema::redirect> records;
    records.reserve(message.redirects.size());
    for (const auto& item : message.redirects)
    {
        records.push_back(to_schema(item));
    }
    const auto stored = out.CreateVectorOfStructs(records);
    const auto peers = out.CreateVector(message.peers);
    return {schema::control_body::redirects,
            schema::Createredirects(out, message.sequence, stored, message.last,
                                    peers)
                .Union()};
}

auto write(FlatBufferBuilder& out, const hand_over_message& message)
    -> encoded_body
{
    const auto numbers = fixed_fields_of(message.flow);
    std::vector<schema::flow_owner> owners;
    owners.reserve(message.flow.owners.size());
    for (const auto& item : message.flow.owners)
    {
        owners.emplace_back(item.id, item.incarnation, item.generation);
    }
    const auto stored = out.CreateVectorOfStructs(owners);
    const auto requests =
        create_offset_vector(out, message.flow.requests, write_request);
    const auto observes =
        create_offset_vector(out, message.flow.observes, write_observe);
    return {schema::control_body::hand_over,
            schema::Createhand_over(out, message.sequence, &numbers, stored,
                                    requests, observes)
                .Union()};
}

auto write(FlatBufferBuilder& out, const transfer_ack_message& message)
    -> encoded_body
{
    return {schema::control_body::transfer_ack,
            schema::Createtransfer_ack(out, message.sequence, message.accepted)
                .Union()};
}

auto write(FlatBufferBuilder& out, const configuration_message& message)
    -> encoded_body
{
    const auto changes =
        create_offset_vector(out, message.changes, write_change);
    return {schema::control_body::configuration_update,
            schema::Createconfiguration_update(out, message.from_version,
                                               message.to_version, changes)
                .Union()};
}

auto write(FlatBufferBuilder& out, const configuration_request& message)
    -> encoded_body
{
    return {
        schema::control_body::configuration_query,
        schema::Createconfiguration_query(out, message.held_version).Union()};
}

auto write(FlatBufferBuilder& out, const load_message& message) -> encoded_body
{
    return {schema::control_body::load,
            schema::Createload(out, message.service, message.flows,
                               message.rate, message.in_progress)
                .Union()};
}

auto write(FlatBufferBuilder& out, const heartbeat_message& message)
    -> encoded_body
{
    return {schema::control_body::heartbeat,
            schema::Createheartbeat(out, message.sequence).Union()};
}

auto write(FlatBufferBuilder& out, const flow_query_message& message)
    -> encoded_body
{
    const auto flows = write_flows(out, message.flows);
    return {schema::control_body::flow_query,
            schema::Createflow_query(out, message.sequence, flows,
                                     message.members_digest)
                .Union()};
}

auto write(FlatBufferBuilder& out, const flow_reply_message& message)
    -> encoded_body
{
    const auto held = write_flows(out, message.held);
    const auto absent = write_flows(out, message.absent);
    const auto members = out.CreateVector(message.members);
    return {schema::control_body::flow_reply,
            schema::Createflow_reply(out, message.sequence,
                                     message.members_digest, held, absent,
                                     members)
                .Union()};
}

auto write(FlatBufferBuilder& out, const placement_policy_message& message)
    -> encoded_body
{
    const auto& policy = message.policy;
    std::vector<schema::warm_up_limit> limits;
    limits.reserve(policy.warm_up.size());
    for (const auto& item : policy.warm_up)
    {
        limits.emplace_back(item.service, item.requests_per_second_milli);
    }
    const auto evacuated = out.CreateVectorOfStrings(policy.evacuated);
    const auto warm_up = out.CreateVectorOfStructs(limits);
    return {schema::control_body::placement_policy,
            schema::Createplacement_policy(out, policy.era, policy.revision,
                                           evacuated, warm_up)
                .Union()};
}

} // namespace

auto encode_control(const control_message& message) -> byte_buffer
{
    FlatBufferBuilder builder;
    const auto body = std::visit(
        [&](const auto& item)
        {
            return write(builder, item);
        },
        message.body);
    const auto root =
        schema::Createcontrol(builder, message.from, message.from_incarnation,
                              body.kind, body.offset);
    builder.Finish(root, schema::controlIdentifier());
    const auto* begin = builder.GetBufferPointer();
    return {begin, begin + builder.GetSize()};
}

} // namespace briardrum
