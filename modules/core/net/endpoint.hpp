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

// IPv4 address and port, both in host byte order. Address 0 with port 0 means
// "none".
struct endpoint
{
    std::uint32_t address = 0;
    std::uint16_t port = 0;

    // clang-tidy 14 mistakes comparisons rewritten to this operator for a
    // comparison with a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const endpoint&) const = default;

    auto is_none() const -> bool
    {
        return address == 0 && port == 0;
    }
};

// Formats an endpoint as "a.b.c.d:port".
auto to_string(const endpoint& value) -> std::string;

// Parses "a.b.c.d:port". Returns error_kind::invalid_argument for other text.
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
