#ifndef BRIARDRUM_CONFIG_MODEL_SERVICE_HPP
#define BRIARDRUM_CONFIG_MODEL_SERVICE_HPP

#include "core/core.hpp"

#include <string>

namespace briardrum
{

// Bit set of CoAP request methods: bit N stands for method code N.
using method_set = std::uint32_t;

constexpr auto method_bit(std::uint8_t code) -> method_set
{
    return method_set{1} << code;
}

// GET, PUT, FETCH and iPATCH. POST, DELETE and PATCH are repeatable only if the
// service declares them so.
constexpr method_set default_repeatable_methods =
    method_bit(1) | method_bit(3) | method_bit(5) | method_bit(7);

// A service created by an operator. Backend servers register with it by
// announcing its name; callers send requests to its address.
struct service
{
    service_id id = 0;
    std::string name;
    endpoint address;
    // Methods whose requests may safely be executed more than once.
    method_set repeatable = default_repeatable_methods;

    auto operator==(const service&) const -> bool = default;
};

} // namespace briardrum

#endif
