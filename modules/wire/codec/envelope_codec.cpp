#include "wire/codec/envelope_codec.hpp"

#include "wire/coap/coap_view.hpp"
#include "wire/codec/schema_check.hpp"

#include <envelope_generated.h>

namespace briardrum
{

namespace
{

constexpr std::uint8_t percent_max = 100;
constexpr std::size_t builder_bytes = 2048;

auto to_schema(const envelope& message) -> schema::envelope_header
{
    return {message.target,
            message.target_incarnation,
            message.balancer,
            message.from_agent,
            message.version,
            message.service,
            message.caller.address,
            message.service_address.address,
            message.caller.port,
            message.service_address.port,
            static_cast<std::uint8_t>(message.kind),
            message.hops,
            message.placed,
            message.saturation};
}

auto from_schema(const schema::envelope_header& header) -> envelope
{
    envelope message;
    message.kind = static_cast<envelope_kind>(header.kind());
    message.service = header.service();
    message.target = header.target();
    message.target_incarnation = header.target_incarnation();
    message.caller = {header.caller_address(), header.caller_port()};
    message.service_address = {header.service_address(), header.service_port()};
    message.balancer = header.balancer();
    message.from_agent = header.from_agent();
    message.hops = header.hops();
    message.placed = header.placed();
    message.saturation = header.saturation();
    message.version = header.version();
    return message;
}

auto is_in_range(const schema::envelope_header& header) -> bool
{
    constexpr auto kind_max = static_cast<std::uint8_t>(envelope_kind::answer);
    return header.kind() <= kind_max && header.hops() <= hop_limit &&
           header.saturation() <= percent_max;
}

} // namespace

auto encode_envelope(const envelope& message, byte_buffer& out) -> void
{
    thread_local flatbuffers::FlatBufferBuilder builder(builder_bytes);
    builder.Clear();
    const auto header = to_schema(message);
    const auto datagram =
        builder.CreateVector(message.datagram.data(), message.datagram.size());
    builder.Finish(schema::Createenvelope(builder, &header, datagram),
                   schema::envelopeIdentifier());
    const auto* begin = builder.GetBufferPointer();
    out.assign(begin, begin + builder.GetSize());
}

auto decode_envelope(byte_view bytes) -> absl::StatusOr<envelope>
{
    if (auto ec = check_identifier(bytes, schema::envelopeIdentifier());
        !ec.ok())
    {
        return ec;
    }
    flatbuffers::Verifier verifier(bytes.data(), bytes.size());
    if (!schema::VerifyenvelopeBuffer(verifier))
    {
        return make_error(error_kind::malformed,
                          "envelope is not a valid FlatBuffers message");
    }
    const auto& root = *schema::Getenvelope(bytes.data());
    const auto& datagram = *root.datagram();
    if (!is_in_range(*root.header()) || datagram.size() == 0)
    {
        return make_error(
            error_kind::malformed,
            "envelope has an empty datagram or a value out of range");
    }
    if (datagram.size() > coap_datagram_max + coap_edit_growth_max)
    {
        return make_error(error_kind::oversize,
                          "datagram in the envelope is too large");
    }
    auto message = from_schema(*root.header());
    message.datagram = {datagram.data(), datagram.size()};
    return message;
}

} // namespace briardrum
