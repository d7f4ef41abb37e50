#include "wire/messages/member_record.hpp"

#include <array>
#include <tuple>

namespace briardrum
{

auto to_string(member_state state) -> std::string_view
{
    constexpr std::array<std::string_view, 6> names = {
        "joining", "ready", "draining", "suspect", "left", "dead"};
    return names.at(static_cast<std::size_t>(state));
}

auto to_string(member_kind kind) -> std::string_view
{
    return kind == member_kind::balancer ? "balancer" : "agent";
}

auto supersedes(const member_record& a, const member_record& b) -> bool
{
    // A member that left or died never returns in the same incarnation.
    const auto is_final = [](const member_record& record)
    {
        return record.state >= member_state::left;
    };
    if (a.incarnation != b.incarnation)
    {
        return a.incarnation > b.incarnation;
    }
    if (is_final(a) != is_final(b))
    {
        return is_final(a);
    }
    return std::tie(a.version, a.state) > std::tie(b.version, b.state);
}

} // namespace briardrum
