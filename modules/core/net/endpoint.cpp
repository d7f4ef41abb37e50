#include "core/net/endpoint.hpp"

#include "core/errors/error_kind.hpp"

#include <array>
#include <charconv>

namespace briardrum
{

namespace
{

constexpr std::uint32_t octet_max = 255;
constexpr std::uint32_t port_max = 65535;

// Parses a decimal number up to limit and the separator after it (0 stands for
// the end of the text), and removes both from text.
auto parse_number(std::string_view& text, std::uint32_t limit, char separator,
                  std::uint32_t& value) -> bool
{
    const auto* begin = text.data();
    const auto* end = begin + text.size();
    const auto [next, ec] = std::from_chars(begin, end, value);
    if (ec != std::errc{} || value > limit)
    {
        return false;
    }
    text.remove_prefix(static_cast<std::size_t>(next - begin));
    if (separator == 0)
    {
        return text.empty();
    }
    if (text.empty() || text.front() != separator)
    {
        return false;
    }
    text.remove_prefix(1);
    return true;
}

} // namespace

auto to_string(const endpoint& value) -> std::string
{
    std::string out;
    for (int shift = 24; shift >= 0; shift -= 8)
    {
        out += std::to_string((value.address >> shift) & octet_max);
        out += shift == 0 ? ':' : '.';
    }
    return out + std::to_string(value.port);
}

auto parse_endpoint(std::string_view text) -> absl::StatusOr<endpoint>
{
    auto rest = text;
    std::uint32_t address = 0;
    for (const char separator : std::array{'.', '.', '.', ':'})
    {
        std::uint32_t octet = 0;
        if (!parse_number(rest, octet_max, separator, octet))
        {
            return make_error(
                error_kind::invalid_argument,
                "'" + std::string(text) +
                    "' is not an IPv4 address and port such as 10.0.0.1:5683");
        }
        address = (address << 8U) | octet;
    }
    std::uint32_t port = 0;
    if (!parse_number(rest, port_max, 0, port))
    {
        return make_error(error_kind::invalid_argument,
                          "'" + std::string(text) +
                              "' must end with a port between 0 and 65535");
    }
    return endpoint{address, static_cast<std::uint16_t>(port)};
}

} // namespace briardrum
