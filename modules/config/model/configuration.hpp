#ifndef BRIARDRUM_CONFIG_MODEL_CONFIGURATION_HPP
#define BRIARDRUM_CONFIG_MODEL_CONFIGURATION_HPP

#include "config/model/preset.hpp"
#include "config/model/service.hpp"

#include <array>
#include <map>
#include <string>

namespace briardrum
{

// Key for the cookies of non-repeatable requests. Key id 0 means "none".
struct cookie_key
{
    std::uint8_t id = 0;
    std::array<std::uint8_t, 32> secret{};

    auto operator==(const cookie_key&) const -> bool = default;
};

// Everything operators decided, at one version. Each change makes a new
// value with a larger version; nothing is edited in place.
struct configuration
{
    configuration_version version = 0;
    // Who made the last change, and its id.
    std::string change_id;
    std::string changed_by;
    millis changed_at;
    std::string in_force;
    service_id next_service_id = 1;
    std::map<std::string, service> services;
    std::map<std::string, preset> presets;
    // The first signs new cookies; both verify.
    std::array<cookie_key, 2> cookie_keys;

    auto operator==(const configuration&) const -> bool = default;

    // The service with this id, address or name, or nullptr.
    auto find(service_id id) const -> const service*;
    auto find(const endpoint& address) const -> const service*;
    auto find(const std::string& name) const -> const service*;

    // What the preset in force says of a service; the default policy when it
    // says nothing.
    auto policy_of(service_id id) const -> service_policy;
};

} // namespace briardrum

#endif
