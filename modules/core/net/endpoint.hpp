#ifndef BRIARDRUM_CORE_NET_ENDPOINT_HPP
#define BRIARDRUM_CORE_NET_ENDPOINT_HPP

#include <absl/status/statusor.h>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace briardrum
{

// An IPv4 address and port, both in host byte order. Port 0 with address 0
// means "none".
struct endpoint
{
    std::uint32_t address = 0;
    std::uint16_t port = 0;

    // clang-tidy 14 takes a comparison rewritten by this for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const endpoint&) const = default;

    auto is_none() const -> bool
    {
        return address == 0 && port == 0;
    }
};

// Writes "a.b.c.d:port".
auto to_string(const endpoint& value) -> std::string;

// Reads "a.b.c.d:port"; error_kind::invalid_argument otherwise.
auto parse_endpoint(std::string_view text) -> absl::StatusOr<endpoint>;

} // namespace briardrum

template <>
struct std::hash<briardrum::endpoint>
{
    auto operator()(const briardrum::endpoint& value) const noexcept
        -> std::size_t
    {
        const auto packed = (std::uint64_t{value.address} << 16U) | value.port;
        return packed * 0x9e3779b97f4a7c15U;
    }
};

#endif
