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

// Identifier of a service, assigned by the configuration and never reused.
// 0 means "none".
using service_id = std::uint32_t;

// Identifier of a process: a 64-bit hash of its configured name. A backend
// server shares the id of its local agent. 0 means "none".
using member_id = std::uint64_t;

// Distinguishes successive runs of one member. Increases with each run.
using incarnation_number = std::uint64_t;

// Counts the owners of a flow: incremented each time the flow moves.
using flow_generation = std::uint32_t;

// Version of the whole configuration. Never decreases.
using configuration_version = std::uint64_t;

// Returns the id of the member with this configured name.
auto member_id_of(std::string_view name) -> member_id;

// Identifies a flow: the traffic between one caller's socket and one service.
struct flow_key
{
    endpoint caller;
    service_id service = 0;

    // clang-tidy 14 mistakes rewritten comparisons for a comparison with a null
    // pointer.
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
