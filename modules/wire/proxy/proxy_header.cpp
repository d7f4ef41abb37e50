#include "wire/proxy/proxy_header.hpp"

#include "wire/bytes/big_endian.hpp"

#include <algorithm>
#include <array>

namespace briardrum
{

namespace
{

// Layout: signature, version and command, address family and protocol, length
// of the rest of the header, addresses and ports, TLVs.
constexpr std::array<std::uint8_t, 12> signature = {
    0x0d, 0x0a, 0x0d, 0x0a, 0x00, 0x0d, 0x0a, 0x51, 0x55, 0x49, 0x54, 0x0a};
constexpr std::size_t version_offset = 12;
constexpr std::size_t family_offset = 13;
constexpr std::size_t length_offset = 14;
constexpr std::size_t addresses_offset = 16;
constexpr std::size_t tlvs_offset = proxy_header_bytes;
constexpr std::size_t addresses_bytes = tlvs_offset - addresses_offset;
constexpr std::uint8_t version = 2;
constexpr std::uint8_t command_proxy = 1;
constexpr std::uint8_t family_ipv4_dgram = 0x12;
// Type and length of a TLV.
constexpr std::size_t tlv_header_bytes = 3;

auto malformed(const char* what) -> absl::Status
{
    return make_error(error_kind::malformed, what);
}

auto check_fixed_header(byte_view bytes) -> absl::Status
{
    if (bytes.size() < tlvs_offset ||
        !std::equal(signature.begin(), signature.end(), bytes.begin()))
    {
        return malformed("no PROXY v2 signature, or header truncated");
    }
    if (bytes[version_offset] >> 4U != version)
    {
        return make_error(error_kind::wrong_version,
                          "PROXY protocol version is not 2");
    }
    if ((bytes[version_offset] & 15U) != command_proxy)
    {
        return malformed("PROXY header has a command other than PROXY");
    }
    if (bytes[family_offset] != family_ipv4_dgram)
    {
        return malformed("PROXY header is not for datagrams over IPv4");
    }
    return absl::OkStatus();
}

auto are_complete_tlvs(byte_view tlvs) -> bool
{
    while (!tlvs.empty())
    {
        if (tlvs.size() < tlv_header_bytes)
        {
            return false;
        }
        const auto n = tlv_header_bytes + get_u16(tlvs, 1);
        if (n > tlvs.size())
        {
            return false;
        }
        tlvs = tlvs.subspan(n);
    }
    return true;
}

} // namespace

auto write_proxy_header(const proxied_datagram& packet, byte_buffer& out)
    -> void
{
    out.assign(signature.begin(), signature.end());
    out.push_back((version << 4U) | command_proxy);
    out.push_back(family_ipv4_dgram);
    put_u16(addresses_bytes, out);
    put_u32(packet.caller.address, out);
    put_u32(packet.service_address.address, out);
    put_u16(packet.caller.port, out);
    put_u16(packet.service_address.port, out);
    out.insert(out.end(), packet.datagram.begin(), packet.datagram.end());
}

auto read_proxy_header(byte_view bytes) -> absl::StatusOr<proxied_datagram>
{
    if (auto ec = check_fixed_header(bytes); !ec.ok())
    {
        return ec;
    }
    const std::size_t length = get_u16(bytes, length_offset);
    const auto rest = bytes.subspan(addresses_offset);
    if (length < addresses_bytes || length > rest.size())
    {
        return malformed("PROXY header has an invalid length or is truncated");
    }
    if (!are_complete_tlvs(rest.first(length).subspan(addresses_bytes)))
    {
        return malformed("TLV of a PROXY header is truncated");
    }
    if (length == rest.size())
    {
        return malformed("no datagram after the PROXY header");
    }
    proxied_datagram packet;
    packet.caller = {get_u32(rest, 0), get_u16(rest, 8)};
    packet.service_address = {get_u32(rest, 4), get_u16(rest, 10)};
    packet.datagram = rest.subspan(length);
    return packet;
}

} // namespace briardrum
