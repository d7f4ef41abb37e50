#include "node/store/member_directory_layout.hpp"

namespace briardrum
{

namespace
{

constexpr std::string_view agents_part = "agents/";
constexpr std::string_view era_part = "agents-era";

} // namespace

auto member_directory_layout::balancer_key(std::string_view name) const
    -> std::string
{
    return prefix + std::string(name);
}

auto member_directory_layout::agent_key(std::string_view name) const
    -> std::string
{
    return prefix + std::string(agents_part) + std::string(name);
}

auto member_directory_layout::agent_of(std::string_view key) const
    -> std::string_view
{
    const auto agents_prefix = prefix + std::string(agents_part);
    return key.starts_with(agents_prefix) ? key.substr(agents_prefix.size())
                                          : std::string_view{};
}

auto member_directory_layout::era_key() const -> std::string
{
    return prefix + std::string(era_part);
}

auto member_directory_layout::all() const -> store_range
{
    store_range out;
    out.key = prefix;
    out.range_end = prefix_end(prefix);
    return out;
}

} // namespace briardrum
