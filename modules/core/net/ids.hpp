#ifndef BRIARDRUM_CORE_NET_IDS_HPP
#define BRIARDRUM_CORE_NET_IDS_HPP

#include "core/net/endpoint.hpp"

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace briardrum
{

// Number of a service, given once by the configuration and never reused.
// 0 means "none".
using service_id = std::uint32_t;

// Number of a process of the system: a 64-bit hash of its configured name.
// A backend server has the id of the agent beside it. 0 means "none".
using member_id = std::uint64_t;

// Tells the lives of one member apart; a later life has a larger one.
using incarnation_number = std::uint64_t;

// Counts the owners of a flow: raised each time the flow moves.
using flow_generation = std::uint32_t;

// Version of the whole configuration; only ever raised.
using configuration_version = std::uint64_t;

// The id that belongs to a configured name.
auto member_id_of(std::string_view name) -> member_id;

// Names a flow: one caller's socket talking to one service.
struct flow_key
{
    endpoint caller;
    service_id service = 0;

    // clang-tidy 14 takes the rewritten comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const flow_key&) const = default;
};

auto to_string(const flow_key& key) -> std::string;

} // namespace briardrum

template <>
struct std::hash<briardrum::flow_key>
{
    auto operator()(const briardrum::flow_key& key) const noexcept
        -> std::size_t
    {
        const auto caller = std::hash<briardrum::endpoint>{}(key.caller);
        return caller ^ (key.service * 0xff51afd7ed558ccdU);
    }
};

#endif
