#ifndef BRIARDRUM_CONFIG_MODEL_SERVICE_HPP
#define BRIARDRUM_CONFIG_MODEL_SERVICE_HPP

#include "core/core.hpp"

#include <string>

namespace briardrum
{

// CoAP request methods as a set of bits, (1 << method code).
using method_set = std::uint32_t;

constexpr auto method_bit(std::uint8_t code) -> method_set
{
    return method_set{1} << code;
}

// GET, PUT, FETCH and iPATCH may be repeated; POST, DELETE and PATCH may
// not, unless the service says so.
constexpr method_set default_repeatable_methods =
    method_bit(1) | method_bit(3) | method_bit(5) | method_bit(7);

// A service that operators created. Backend servers announce themselves into
// it; callers reach it at its address.
struct service
{
    service_id id = 0;
    std::string name;
    endpoint address;
    // Requests with these methods may be run more than once.
    method_set repeatable = default_repeatable_methods;

    auto operator==(const service&) const -> bool = default;
};

} // namespace briardrum

#endif
